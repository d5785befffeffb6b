import refillBucket from '../budget/refillBucket.js';
import type { Bucket, BucketSpec } from '../budget/types.js';
import { ASKS_PER_SEND, BURST_MS, MAX_DENIAL_MS, MIN_DENIAL_MS, MIN_RATE } from './constants.js';
import createSlotQueue, { type SlotQueue } from './createSlotQueue.js';
import type { SendDecision, SendNeed } from './types.js';

/** Hands out the sends that the limits of servers allow to all hosts together. */
export interface SendLimiter {
  /** Sets the limit of a server. One that had none gets its first request after the interval of the limit. */
  setLimit(serverId: string, requestsPerSecond: number, nowMs: number): void;
  /** Ends the limit of a server. */
  remove(serverId: string): void;
  /** Takes one send at the first of the servers that may get a request now. Servers without a limit are ignored. */
  take(need: SendNeed, nowMs: number): SendDecision;
  /** Monotonic time from which a server may get its next request; -Infinity when it may get one now. */
  nextSendAtMs(serverId: string, nowMs: number): number;
  /** Monotonic time at which a request would get its turn behind those that wait and a number of others. */
  predictTurnMs(need: Pick<SendNeed, 'queue' | 'serverIds'>, others: number, nowMs: number): number;
  /** Sends that were handed out since the limit began; 0 without a limit. */
  countSends(serverId: string): number;
}

interface LimitedServer {
  spec: BucketSpec;
  bucket: Bucket;
  sends: number;
  /** Time that the next denied request is told. */
  nextAskMs: number;
}

interface NamedServer {
  readonly serverId: string;
  readonly server: LimitedServer;
}

const MS_PER_SECOND = 1_000;
/** Part of a send by which rounding may make a bucket fall short. */
const ROUNDING = 1e-6;

/** Time between two sends at a limit. */
export const toIntervalMs = (requestsPerSecond: number): number =>
  MS_PER_SECOND / Math.max(MIN_RATE, requestsPerSecond);

const toSpec = (requestsPerSecond: number): BucketSpec => {
  const ratePerSecond = Math.max(MIN_RATE, requestsPerSecond);
  return { ratePerSecond, capacity: 1 + (ratePerSecond * BURST_MS) / MS_PER_SECOND };
};

const hasSend = ({ bucket }: LimitedServer): boolean => bucket.amount >= 1 - ROUNDING;

const waitMs = (server: LimitedServer): number =>
  hasSend(server) ? 0 : ((1 - server.bucket.amount) / server.spec.ratePerSecond) * MS_PER_SECOND;

class Limiter implements SendLimiter {
  private readonly servers = new Map<string, LimitedServer>();

  private readonly queues = new Map<string, SlotQueue>();

  setLimit(serverId: string, requestsPerSecond: number, nowMs: number): void {
    const spec = toSpec(requestsPerSecond);
    const known = this.refill(serverId, nowMs);
    if (known === undefined) {
      this.servers.set(serverId, { spec, bucket: { amount: 0, updatedAtMs: nowMs }, sends: 0, nextAskMs: nowMs });
    } else {
      known.spec = spec;
    }
  }

  remove(serverId: string): void {
    this.servers.delete(serverId);
  }

  take(need: SendNeed, nowMs: number): SendDecision {
    const queue = this.findQueue(need.queue);
    const servers = this.findServers(need.serverIds, nowMs);
    const slotMs = queue.find(need.key, nowMs);
    const available = servers.reduce((sum, { server }) => sum + Math.floor(server.bucket.amount + ROUNDING), 0);
    const ahead = slotMs === undefined ? queue.countDue(need.key, nowMs) : queue.countReturned(need.key, nowMs);
    const isTurn = available > ahead && (slotMs ?? nowMs) <= nowMs;
    const open = servers.find(({ server }) => hasSend(server));
    if (isTurn && open !== undefined) {
      queue.delete(need.key);
      Limiter.spend(open.server);
      return { type: 'granted', serverId: open.serverId };
    }
    if (slotMs !== undefined && slotMs > nowMs) {
      return { type: 'later', atMs: slotMs };
    }
    const { earliestMs, intervalMs } = Limiter.readPace(servers, nowMs);
    if (need.maxWaitMs !== undefined) {
      const latestMs = nowMs + need.maxWaitMs;
      // A send that is left for others is not the next one of this request.
      const nextMs = open === undefined || slotMs === undefined ? earliestMs : nowMs + intervalMs;
      return { type: 'later', atMs: queue.add(need.key, { earliestMs: nextMs, intervalMs, latestMs, nowMs }).atMs };
    }
    return { type: 'later', atMs: Limiter.deny(servers[0]?.server, { earliestMs, nowMs }) };
  }

  nextSendAtMs(serverId: string, nowMs: number): number {
    const server = this.refill(serverId, nowMs);
    return server === undefined || hasSend(server) ? -Infinity : nowMs + waitMs(server);
  }

  predictTurnMs({ queue, serverIds }: Pick<SendNeed, 'queue' | 'serverIds'>, others: number, nowMs: number): number {
    const { earliestMs, intervalMs } = Limiter.readPace(this.findServers(serverIds, nowMs), nowMs);
    return earliestMs + (this.findQueue(queue).countAhead(Infinity, nowMs) + others) * intervalMs;
  }

  countSends(serverId: string): number {
    return this.servers.get(serverId)?.sends ?? 0;
  }

  private findServers(serverIds: readonly string[], nowMs: number): readonly NamedServer[] {
    return serverIds.flatMap((serverId) => {
      const server = this.refill(serverId, nowMs);
      return server === undefined ? [] : [{ serverId, server }];
    });
  }

  private refill(serverId: string, nowMs: number): LimitedServer | undefined {
    const server = this.servers.get(serverId);
    if (server !== undefined) {
      server.bucket = refillBucket(server.bucket, server.spec, nowMs);
    }
    return server;
  }

  private findQueue(name: string): SlotQueue {
    const queue = this.queues.get(name) ?? createSlotQueue();
    this.queues.set(name, queue);
    return queue;
  }

  /** Time of the first send at any of the servers, and the time between two. */
  private static readPace(
    servers: readonly NamedServer[],
    nowMs: number,
  ): { readonly earliestMs: number; readonly intervalMs: number } {
    const rate = servers.reduce((sum, { server }) => sum + server.spec.ratePerSecond, 0);
    const earliestMs = nowMs + Math.min(...servers.map(({ server }) => waitMs(server)));
    return { earliestMs, intervalMs: MS_PER_SECOND / rate };
  }

  private static spend(server: LimitedServer): void {
    const spent = server;
    spent.bucket = { ...server.bucket, amount: server.bucket.amount - 1 };
    spent.sends += 1;
  }

  /** Spreads the times that denied requests are told, so that few hosts ask for each send however many there are. */
  private static deny(
    server: LimitedServer | undefined,
    { earliestMs, nowMs }: { readonly earliestMs: number; readonly nowMs: number },
  ): number {
    if (server === undefined) {
      return earliestMs;
    }
    const denied = server;
    const atMs = Math.min(Math.max(earliestMs, server.nextAskMs, nowMs + MIN_DENIAL_MS), nowMs + MAX_DENIAL_MS);
    denied.nextAskMs = atMs + MS_PER_SECOND / server.spec.ratePerSecond / ASKS_PER_SEND;
    return atMs;
  }
}

/**
 * Creates a limiter without limits. In any window of W seconds a server is handed out at most its burst and W times its
 * rate of sends; the burst is one send and those of 0.25 s.
 *
 * @returns the limiter
 * @example
 * limiter.setLimit('s1', 2, nowMs);
 * limiter.take({ queue: 'pool', key: 'request', serverIds: ['s1'] }, nowMs + 500);
 */
export default function createSendLimiter(): SendLimiter {
  return new Limiter();
}
