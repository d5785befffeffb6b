import type { Clock } from '@bergamotcove/clock';
import { readReportAge, type LoadReport, type ServerDescription } from '@bergamotcove/decide';
import type { ServerLoad } from '@bergamotcove/backends';

/** Options of {@link createLoadPoll}. */
export interface LoadPollOptions {
  readonly clock: Clock;
  /** Reads the load report of a server; undefined when the server has no such endpoint. */
  readonly fetchLoad: (server: ServerDescription) => Promise<ServerLoad | undefined>;
}

/** Polls single servers. */
export interface LoadPoll {
  /** Whether the server may be asked now. */
  mayPoll(serverId: string): boolean;
  /** Report of the server with its time on the own monotonic clock; undefined when there is none. */
  poll(server: ServerDescription): Promise<LoadReport | undefined>;
}

/** Pause before a server without the endpoint is asked again, because it may have been replaced. */
const UNSUPPORTED_PAUSE_MS = 30_000;

/**
 * Creates the poll of load reports. A server that has no such endpoint is judged by its answers alone.
 *
 * @param options - clock and way to a server
 * @returns the poll
 */
export default function createLoadPoll(options: LoadPollOptions): LoadPoll {
  const { clock, fetchLoad } = options;
  const pausedUntilMs = new Map<string, number>();
  const polling = new Set<string>();

  const mayPoll = (serverId: string): boolean =>
    !polling.has(serverId) && (pausedUntilMs.get(serverId) ?? 0) <= clock.monotonicMs();

  const fetch = async (server: ServerDescription): Promise<LoadReport | undefined> => {
    const sentMs = clock.monotonicMs();
    const load = await fetchLoad(server);
    const nowMs = clock.monotonicMs();
    if (load === undefined) {
      pausedUntilMs.set(server.serverId, nowMs + UNSUPPORTED_PAUSE_MS);
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
    polling.add(server.serverId);
    try {
      return await fetch(server);
    } catch {
      // A server that does not report is judged by its answers; the traffic notices if it is gone.
      return undefined;
    } finally {
      polling.delete(server.serverId);
    }
  };
  return { mayPoll, poll };
}
