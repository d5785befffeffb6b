import type { Clock } from '@bergamotcove/clock';
import type { SendDecision, ServerView } from '@bergamotcove/decide';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import placeAttempt, { type PlacementPorts } from '../servers/placeAttempt.js';
import type { ServerPools } from '../servers/createServerPools.js';
import type { PlaceAnswer } from '../scheduling/messages.js';
import type { WorkEstimate } from './estimateWork.js';
import type HeldResults from './HeldResults.js';
import type Reservation from './Reservation.js';
import type RunAnswer from './RunAnswer.js';
import type RunRecord from './RunRecord.js';
import type { ForwardRequest } from './types.js';

/** The request that needs a server, with its state. */
export interface PlacedRun {
  readonly request: ForwardRequest;
  readonly pool: string;
  readonly work: WorkEstimate;
  /** Servers that failed this request and are avoided. */
  readonly avoidServers: readonly string[];
  readonly record: RunRecord;
  readonly answer: RunAnswer;
  readonly results: HeldResults;
  readonly reservation: Reservation;
  /** Aborted when the request has ended. */
  readonly signal: AbortSignal;
}

/** Dependencies of {@link ServerFinder}. */
export interface FinderPorts extends Omit<PlacementPorts, 'isCancelled'> {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly limits: RateLimits;
  readonly pools: ServerPools;
}

/** A server for an attempt. */
export interface FoundServer {
  readonly server: ServerView;
  /** Time to the first token, as predicted by the scheduler. */
  readonly expectedFirstTokenMs: number | undefined;
}

/** Retry-After when no server is left to try and the directory does not know when one will be back. */
export const NO_SERVER_RETRY_AFTER_MS = 300;

/** Finds servers for the attempts of one request, and gets permission to send to those that have a rate limit. */
export default class ServerFinder {
  constructor(
    private readonly run: PlacedRun,
    private readonly ports: FinderPorts,
  ) {}

  /** Waits until a server may get the request; undefined when the request ends first. */
  async find(): Promise<FoundServer | undefined> {
    const { answer, record, reservation, results, avoidServers } = this.run;
    while (!answer.ended) {
      // Each step depends on the previous one.
      /* eslint-disable no-await-in-loop */
      const assigned = await reservation.place(results, avoidServers);
      const server =
        assigned.laterInMs === undefined
          ? await this.choose(assigned)
          : await this.awaitTurn(this.ports.clock.monotonicMs() + assigned.laterInMs);
      /* eslint-enable no-await-in-loop */
      if (server !== 'again') {
        if (server !== undefined) {
          record.notePlaced();
        }
        return server === undefined ? undefined : { server, expectedFirstTokenMs: assigned.firstTokenMs };
      }
    }
    return undefined;
  }

  private async choose(assigned: PlaceAnswer): Promise<ServerView | undefined | 'again'> {
    const { request, pool, avoidServers, work, answer } = this.run;
    const { limits, directory } = this.ports;
    const { serverId, permitted = false } = assigned;
    const placement = { request, pool, serverId, permitted, avoidServers, ...work };
    const placed = await placeAttempt(placement, { ...this.ports, isCancelled: () => answer.ended });
    if (placed.type === 'cancelled') {
      return undefined;
    }
    if (placed.type === 'placed') {
      const { server } = placed;
      if ((permitted && server.serverId === serverId) || !limits.isLimited(server.serverId)) {
        return server;
      }
      const decision = await this.take([server], false);
      return decision.type === 'granted' && !answer.ended ? server : 'again';
    }
    const limited = directory.view(pool).servers.filter((server) => limits.isLimited(server.serverId));
    if (limited.length === 0) {
      answer.fail('no-server', directory.readBackoffRemainingMs(pool) ?? NO_SERVER_RETRY_AFTER_MS);
      return undefined;
    }
    const decision = await this.take(limited, true);
    return decision.type === 'granted'
      ? limited.find((server) => server.serverId === decision.serverId)
      : this.awaitTurn(decision.atMs);
  }

  private take(servers: readonly ServerView[], mayWait: boolean): Promise<SendDecision> {
    const { request, pool, record } = this.run;
    const serverIds = servers.map(({ serverId }) => serverId);
    record.noteLimited(serverIds);
    return this.ports.limits.take({ queue: pool, key: request.fingerprint, serverIds, mayWait });
  }

  /** Waits for the turn of the request at servers with limits, or refuses it when its turn comes too late. */
  private async awaitTurn(atMs: number): Promise<'again' | undefined> {
    const { request, pool, answer, signal } = this.run;
    const { clock, pools } = this.ports;
    const waitMs = Math.max(0, atMs - clock.monotonicMs());
    if (atMs + pools.typicalUnitMs(pool) >= request.deadlineAtMs) {
      answer.fail('limited', waitMs);
      return undefined;
    }
    await new Promise<void>((resolve) => {
      const timer = clock.schedule(waitMs, resolve);
      signal.addEventListener('abort', () => {
        timer.close();
        resolve();
      });
    });
    return answer.ended ? undefined : 'again';
  }
}
