import { createManualClock } from '@bergamotcove/clock';
import type { SendDecision } from '@bergamotcove/decide';
import type { RateLimits } from '@bergamotcove/gateway';
import createRandom from '../faults/createRandom.js';
import createModelHosts, { type ModelHost, type ModelHosts, type ModelServer } from './createModelHosts.js';
import type { LimitModel, LimitModelResult } from './types.js';

const MS_PER_SECOND = 1_000;
const QUEUE = 'pool';
/** Time from a send to the arrival at the server, and from there to the answer. */
const SEND_MS = 1;
const ANSWER_MS = 30;
/** Time within which all hosts must keep to a limit that was stated first. */
const PROPAGATION_MS = 4_000;
const SPAN_MS = 4_000;
/** Time for which a request waits for its turn. */
const MAX_WAIT_MS = 2_000;
/** Share of the refused callers that come back. */
const RETURN_SHARE = 0.5;
const DOWN_MS = 1_000;
const OWNER_DOWN_MS = 3_000;

/** Runs what promises have made ready. */
const flush = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

const countPeak = (timesMs: readonly number[]): number => {
  let first = 0;
  return timesMs.reduce((peak, timeMs, last) => {
    while ((timesMs[first] as number) < timeMs - SPAN_MS) {
      first += 1;
    }
    return Math.max(peak, last - first + 1);
  }, 0);
};

/** A request of the model. */
interface ModelRequest {
  readonly key: string;
  /** Whether its caller was refused before. */
  readonly isReturn: boolean;
}

class LimitModelRun {
  private readonly clock = createManualClock();

  private readonly random;

  private readonly servers: ReadonlyMap<string, ModelServer>;

  private readonly hosts: ModelHosts;

  /** Times of the requests at each server with a limit. */
  private readonly arrivals = new Map<string, number[]>();

  private requests = 0;

  private refused = 0;

  private returned = 0;

  private servedOnReturn = 0;

  constructor(private readonly model: LimitModel) {
    this.random = createRandom(model.seed, 'limit-model');
    const list = Array.from({ length: model.servers }, (_, index) => ({
      serverId: `s${index}`,
      region: `r${index % model.regions}`,
    }));
    this.servers = new Map(list.map((server) => [server.serverId, server]));
    list.slice(0, model.limitedServers).forEach(({ serverId }) => this.arrivals.set(serverId, []));
    this.hosts = createModelHosts(model, this.servers, this.clock);
  }

  async run(): Promise<LimitModelResult> {
    const { lengthMs, restartEveryMs, ownerKillEveryMs } = this.model;
    this.scheduleRequests();
    this.scheduleFaults(restartEveryMs, () => {
      this.hosts.restart(Math.floor(this.random() * this.model.hosts), DOWN_MS);
    });
    this.scheduleFaults(ownerKillEveryMs, () => this.hosts.restart(this.hosts.findOwner('s0'), OWNER_DOWN_MS));
    for (let dueMs = this.clock.nextDueMs(); dueMs !== undefined && dueMs <= lengthMs; dueMs = this.clock.nextDueMs()) {
      this.clock.advance(dueMs - this.clock.monotonicMs());
      // The next event may depend on what this one has resolved.

      await flush();
    }
    return this.summarise();
  }

  private scheduleRequests(): void {
    const meanMs = MS_PER_SECOND / this.model.requestsPerSecond;
    this.clock.schedule(-Math.log(1 - this.random()) * meanMs, () => {
      this.scheduleRequests();
      this.requests += 1;
      this.arrive(this.pick(this.hosts.all), { key: String(this.requests), isReturn: false });
    });
  }

  private scheduleFaults(everyMs: number, run: () => void): void {
    if (everyMs !== Infinity) {
      this.clock.schedule(everyMs * (0.5 + this.random()), () => {
        run();
        this.scheduleFaults(everyMs, run);
      });
    }
  }

  /** Sends a request to a server of its region that is open for it, as a gateway does. */
  private async serve(limits: RateLimits, host: ModelHost, { key, isReturn }: ModelRequest): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + MAX_WAIT_MS;
    const servers = [...this.servers.values()];
    const near = servers.filter(({ region }) => region === host.region);
    const all = (near.length > 0 ? near : servers).map(({ serverId }) => serverId);
    for (;;) {
      const nowMs = this.clock.monotonicMs();
      const open = all.filter((serverId) => limits.closedUntilMs(serverId) <= nowMs);
      const chosen = open[Math.floor(this.random() * open.length)];
      const limited = all.filter((serverId) => serverId !== chosen && limits.isLimited(serverId));
      const mayWait = chosen === undefined || (limits.isLimited(chosen) && limited.length + 1 === all.length);
      const serverIds = [...(chosen === undefined ? [] : [chosen]), ...(mayWait ? limited : [])];
      // Each decision depends on the one before.

      const decision: SendDecision = await limits.take({
        queue: QUEUE,
        key,
        serverIds,
        ...(mayWait ? { maxWaitMs: deadlineMs - nowMs } : {}),
      });
      if (decision.type === 'granted') {
        this.send(limits, decision.serverId);
        this.servedOnReturn += isReturn ? 1 : 0;
        return;
      }
      if (mayWait) {
        if (decision.atMs > deadlineMs) {
          this.refuse(host, { key, isReturn }, decision.atMs);
          return;
        }
        await new Promise<void>((resolve) => {
          this.clock.schedule(decision.atMs - this.clock.monotonicMs(), resolve);
        });
      }
    }
  }

  /** Counts a refusal; half of the callers come back once, at any host of their region. */
  private refuse({ region }: ModelHost, { key, isReturn }: ModelRequest, atMs: number): void {
    this.refused += 1;
    if (isReturn || this.random() >= RETURN_SHARE) {
      return;
    }
    this.clock.schedule(atMs - this.clock.monotonicMs(), () => {
      this.returned += 1;
      this.arrive(this.pick(this.hosts.all.filter((host) => host.region === region)), { key, isReturn: true });
    });
  }

  private pick(hosts: readonly ModelHost[]): ModelHost | undefined {
    return hosts[Math.floor(this.random() * hosts.length)];
  }

  private arrive(host: ModelHost | undefined, request: ModelRequest): void {
    if (host?.limits !== undefined) {
      this.serve(host.limits, host, request).catch(() => undefined);
    }
  }

  private send(limits: RateLimits, serverId: string): void {
    const sentAtMs = this.clock.monotonicMs();
    const arrived = this.arrivals.get(serverId);
    this.clock.schedule(SEND_MS, () => arrived?.push(this.clock.monotonicMs()));
    this.clock.schedule(SEND_MS + ANSWER_MS, () => {
      const requestsPerSecond = this.model.limitPerSecond;
      limits.noteAnswer(
        serverId,
        arrived === undefined ? { type: 'none' } : { type: 'stated', requestsPerSecond },
        sentAtMs,
      );
    });
  }

  private summarise(): LimitModelResult {
    const { lengthMs, limitPerSecond } = this.model;
    const measured = [...this.arrivals.values()].map((timesMs) => {
      const fromMs = (timesMs[0] ?? 0) + ANSWER_MS + PROPAGATION_MS;
      return { fromMs, timesMs: timesMs.filter((timeMs) => timeMs >= fromMs) };
    });
    const allowed = measured.reduce(
      (sum, { fromMs }) => sum + ((lengthMs - fromMs) / MS_PER_SECOND) * limitPerSecond,
      0,
    );
    const messages = this.hosts.all.map((host) => host.messages);
    const seconds = lengthMs / MS_PER_SECOND;
    return {
      peak: Math.max(...measured.map(({ timesMs }) => countPeak(timesMs))),
      usedShare: measured.reduce((sum, { timesMs }) => sum + timesMs.length, 0) / allowed,
      requests: this.requests,
      refused: this.refused,
      returned: this.returned,
      servedOnReturn: this.servedOnReturn,
      messagesPerSecond: messages.reduce((sum, count) => sum + count, 0) / seconds,
      mostMessagesPerSecond: Math.max(...messages) / seconds,
    };
  }
}

/**
 * Runs a fleet in virtual time: each host has the rate limits of a gateway, and the messages between them take the time
 * of their way.
 *
 * @param model - the fleet, its traffic and its faults
 * @returns what the servers with limits got, and what it cost
 */
export default function runLimitModel(model: LimitModel): Promise<LimitModelResult> {
  return new LimitModelRun(model).run();
}
