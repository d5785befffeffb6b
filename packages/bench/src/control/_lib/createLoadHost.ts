import type { Clock } from '@bergamotcove/clock';
import { createPoolTracker, type ServerDescription } from '@bergamotcove/decide';
import { createLoadReports, type LoadReports, type SummaryLink } from '@bergamotcove/entry';
import type { ServerLoad } from '@bergamotcove/backends';
import type { PeerAddress } from '@bergamotcove/protocol';

/** Options of {@link createLoadHost}. */
export interface LoadHostOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly self: PeerAddress;
  readonly servers: () => readonly ServerDescription[];
  readonly liveHosts: () => readonly PeerAddress[];
  readonly link: () => SummaryLink | undefined;
  readonly fetchLoad: (server: ServerDescription) => Promise<ServerLoad | undefined>;
  /** Whether this host has sent attempts to the pool of the server. */
  readonly isUsed: (serverId: string) => boolean;
}

/** Load reports of one host with what they put into its view. */
export interface LoadHostBench {
  readonly reports: LoadReports;
  /** Age of the report that this host uses for the server; undefined before the first one. */
  ageMs(serverId: string): number | undefined;
  /** Attempts of other hosts in that report. */
  running(serverId: string): number;
  /** Polls sent. */
  polls(): number;
  /** Reports that came back older than the one before. */
  steppedBack(): number;
}

const IGNORED_LOGGER = { event: () => undefined };

/** Creates the load reports of the daemon over a view that can be read. */
export default function createLoadHost(options: LoadHostOptions): LoadHostBench {
  const { clock } = options;
  const book = createPoolTracker();
  let polls = 0;
  let steppedBack = 0;
  const reportedAtMs = (serverId: string) => book.stats(serverId).reportedAtMs;
  const reports = createLoadReports({
    ...options,
    logger: IGNORED_LOGGER,
    directory: {
      listServers: options.servers,
      lastSentMs: (serverId) => (options.isUsed(serverId) ? clock.monotonicMs() : undefined),
      noteReport: (serverId, report, hosts) => {
        const before = reportedAtMs(serverId) ?? -Infinity;
        const counts = book.noteReport(serverId, report, { hosts, nowMs: clock.monotonicMs() });
        steppedBack += (reportedAtMs(serverId) ?? -Infinity) < before ? 1 : 0;
        return counts;
      },
    },
    fetchLoad: (server) => {
      polls += 1;
      return options.fetchLoad(server);
    },
    onReports: () => undefined,
  });
  return {
    reports,
    ageMs: (serverId) => {
      const atMs = reportedAtMs(serverId);
      return atMs === undefined ? undefined : clock.monotonicMs() - atMs;
    },
    running: (serverId) => book.stats(serverId).othersOutstanding,
    polls: () => polls,
    steppedBack: () => steppedBack,
  };
}
