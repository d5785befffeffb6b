import type { Clock } from '@bergamotcove/clock';
import { findContinuers, isPermitted, type ServerView } from '@bergamotcove/decide';
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
import type StreamBinding from './StreamBinding.js';
import type { ForwardRequest } from './types.js';

/** The request that needs a server, with its state. */
export interface PlacedRun {
  readonly request: ForwardRequest;
  readonly pool: string;
  readonly work: WorkEstimate;
  /** Servers that failed this request and are avoided. */
  readonly avoidServers: readonly string[];
  readonly record: RunRecord;
  readonly answer: Pick<RunAnswer, 'ended' | 'refuse'>;
  readonly results: HeldResults;
  readonly reservation: Reservation;
  readonly binding: StreamBinding;
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
  /** Whether the permission of the latest server became too old before the request was sent. */
  isExpired = false;

  /** Monotonic time before the permission of the latest server was asked for; undefined without one. */
  private permittedAtMs: number | undefined;

  constructor(
    private readonly run: PlacedRun,
    private readonly ports: FinderPorts,
  ) {}

  /** Waits until a server may get the request; undefined when the request ends first. */
  async find(): Promise<FoundServer | undefined> {
    const { answer, record, reservation, results, avoidServers, binding } = this.run;
    while (!answer.ended) {
      // Each step depends on the previous one.
      /* eslint-disable no-await-in-loop */
      const askedAtMs = this.ports.clock.monotonicMs();
      this.permittedAtMs = undefined;
      this.isExpired = false;
      const assigned = await reservation.place(results, { avoidServers, softwareVersion: binding.requiredVersion });
      const server =
        assigned.laterInMs === undefined
          ? await this.choose(assigned, askedAtMs)
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

  /** Whether a request may be sent to the server that was found: its permission may have become too old. */
  maySend({ serverId }: ServerView): boolean {
    const { clock, limits } = this.ports;
    this.isExpired = !limits.maySend(serverId, this.permittedAtMs);
    return !this.isExpired && clock.monotonicMs() < this.run.request.deadlineAtMs;
  }

  private async choose(assigned: PlaceAnswer, askedAtMs: number): Promise<ServerView | undefined | 'again'> {
    const { request, pool, avoidServers, work, answer, binding } = this.run;
    const { limits } = this.ports;
    const { serverId = '', paced = false } = assigned;
    // A scheduler of an earlier version does not regard the pace of servers that started.
    const permittedAtMs = assigned.permitted === true && paced ? askedAtMs : undefined;
    const permitted = assigned.permitted === true && limits.maySend(serverId, permittedAtMs);
    const softwareVersion = binding.requiredVersion;
    const placement = { request, pool, serverId: assigned.serverId, permitted, avoidServers, softwareVersion, ...work };
    const placed = await placeAttempt(placement, { ...this.ports, isCancelled: () => answer.ended });
    if (placed.type === 'cancelled') {
      return undefined;
    }
    const preferred = placed.type === 'placed' ? placed.server : undefined;
    if (
      preferred !== undefined &&
      ((permitted && preferred.serverId === serverId) || !limits.isLimited(preferred.serverId))
    ) {
      this.permittedAtMs = permittedAtMs;
      return preferred;
    }
    return this.takeLimited(preferred);
  }

  /**
   * Gets permission to send to a server with a rate limit: the preferred one, or any of the pool when no server without
   * a limit is left.
   */
  private async takeLimited(preferred: ServerView | undefined): Promise<ServerView | undefined | 'again'> {
    const { request, pool, avoidServers, record, answer, binding } = this.run;
    const { limits, directory, residency } = this.ports;
    const listed = directory.view(pool).servers;
    const regions = residency.findRegions(request);
    const softwareVersion = binding.requiredVersion;
    const servers = (softwareVersion === undefined ? listed : findContinuers(listed, { pool, softwareVersion })).filter(
      ({ region }) => isPermitted(regions, region),
    );
    const usable = servers.filter(({ serverId }) => !avoidServers.includes(serverId));
    const others = usable.length > 0 ? usable : servers;
    const mayWait = preferred === undefined || others.every(({ serverId }) => limits.isLimited(serverId));
    const candidates = [
      ...(preferred === undefined ? [] : [preferred]),
      ...(mayWait ? others.filter((server) => server !== preferred && limits.isLimited(server.serverId)) : []),
    ];
    if (candidates.length === 0) {
      answer.refuse('no-server', directory.readBackoffRemainingMs(pool) ?? NO_SERVER_RETRY_AFTER_MS);
      return undefined;
    }
    const serverIds = candidates.map(({ serverId }) => serverId);
    record.noteLimited(serverIds);
    const need = { queue: pool, key: request.fingerprint, serverIds };
    this.permittedAtMs = this.ports.clock.monotonicMs();
    const decision = await limits.take(mayWait ? { ...need, maxWaitMs: this.readMaxWaitMs() } : need);
    if (decision.type === 'granted') {
      return answer.ended ? undefined : candidates.find(({ serverId }) => serverId === decision.serverId);
    }
    return mayWait ? this.awaitTurn(decision.atMs) : 'again';
  }

  /** Time for which the request can wait for a server and still be answered. */
  private readMaxWaitMs(): number {
    const { request, pool } = this.run;
    const { clock, pools } = this.ports;
    return Math.max(0, request.deadlineAtMs - pools.typicalUnitMs(pool) - clock.monotonicMs());
  }

  /** Waits for the turn of the request at servers with limits, or refuses it when its turn comes too late. */
  private async awaitTurn(atMs: number): Promise<'again' | undefined> {
    const { answer, signal } = this.run;
    const { clock } = this.ports;
    const waitMs = Math.max(0, atMs - clock.monotonicMs());
    if (waitMs > this.readMaxWaitMs()) {
      answer.refuse('limited', waitMs);
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
