import type { Clock } from '@bergamotcove/clock';
import { readReportAge, type LoadReport, type ServerDescription } from '@bergamotcove/decide';
import type { ServerLoad } from '@bergamotcove/backends';

/** Options of {@link createLoadPoller}. */
export interface LoadPollerOptions {
  readonly clock: Clock;
  /** Reads the load report of a server; undefined when the server has no such endpoint. */
  readonly fetchLoad: (server: ServerDescription) => Promise<ServerLoad | undefined>;
}

/** Polls the load reports of single servers. */
export interface LoadPoller {
  /** Whether the server may be polled now: no poll of it is in progress or was recently answered without the endpoint. */
  mayPoll(serverId: string): boolean;
  /** Report of the server, its time converted to this host's monotonic clock; undefined when there is none. */
  poll(server: ServerDescription): Promise<LoadReport | undefined>;
}

/** Time after which a server without the endpoint is polled again, because it may have been replaced. */
const UNSUPPORTED_RETRY_MS = 30_000;

/**
 * Creates the poller of load reports. The load of a server without the endpoint is estimated from its answers alone.
 *
 * @param options - clock and the call that reads a report
 * @returns the poller
 */
export default function createLoadPoller(options: LoadPollerOptions): LoadPoller {
  const { clock, fetchLoad } = options;
  const pausedUntilMs = new Map<string, number>();
  const inProgress = new Set<string>();

  const mayPoll = (serverId: string): boolean =>
    !inProgress.has(serverId) && (pausedUntilMs.get(serverId) ?? 0) <= clock.monotonicMs();

  const fetchReport = async (server: ServerDescription): Promise<LoadReport | undefined> => {
    const sentMs = clock.monotonicMs();
    const load = await fetchLoad(server);
    const nowMs = clock.monotonicMs();
    if (load === undefined) {
      pausedUntilMs.set(server.serverId, nowMs + UNSUPPORTED_RETRY_MS);
      return undefined;
    }
    pausedUntilMs.delete(server.serverId);
    const ageMs = readReportAge({ clockLagMs: clock.wallMs() - load.reportedAtMs, elapsedMs: nowMs - sentMs });
    return { ...load, reportedAtMs: nowMs - ageMs };
  };

  const poll = async (server: ServerDescription): Promise<LoadReport | undefined> => {
    if (!mayPoll(server.serverId)) {
      return undefined;
    }
    inProgress.add(server.serverId);
    try {
      return await fetchReport(server);
    } catch {
      // The load of a server that does not report is estimated from its answers; failed attempts show whether it is down.
      return undefined;
    } finally {
      inProgress.delete(server.serverId);
    }
  };
  return { mayPoll, poll };
}
