import type { Clock, Timer } from '@bergamotcove/clock';
import type { ServerDescription } from '@bergamotcove/decide';
import { fetchLoad, type ServerLoad } from '@bergamotcove/platform';
import type { HttpClient } from '@bergamotcove/transport';
import type { ServerDirectory } from './createServerDirectory.js';

/** Options of {@link createLoadPoller}. */
export interface LoadPollerOptions {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly directory: ServerDirectory;
  /** Number of live entry hosts, which share the servers. */
  readonly liveHosts: () => number;
  /** Called after a round of reports. */
  readonly onReports: () => void;
}

/** Polls the load reports of all backend servers. */
export interface LoadPoller {
  start(): void;
  close(): void;
}

const POLL_MS = 500;
const TIMEOUT_MS = 400;
/** Pause before a server without the endpoint is asked again, because it may have been replaced. */
const UNSUPPORTED_PAUSE_MS = 30_000;
/** A larger difference between the clocks of server and host is an error of the clocks, not a lag. */
const MAX_LAG_MS = 5_000;

class Poller implements LoadPoller {
  private timer: Timer | undefined;

  private closed = false;

  private readonly pausedUntilMs = new Map<string, number>();

  constructor(private readonly options: LoadPollerOptions) {}

  start(): void {
    this.poll().catch(() => undefined);
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private async poll(): Promise<void> {
    const { clock, directory, onReports } = this.options;
    const nowMs = clock.monotonicMs();
    const servers = directory.listServers().filter((server) => this.isDue(server, nowMs));
    await Promise.all(servers.map((server) => this.pollServer(server)));
    if (!this.closed) {
      onReports();
      this.timer = clock.schedule(POLL_MS, () => this.start());
    }
  }

  private isDue(server: ServerDescription, nowMs: number): boolean {
    return (this.pausedUntilMs.get(server.serverId) ?? 0) <= nowMs;
  }

  private async pollServer(server: ServerDescription): Promise<void> {
    const { clock, http } = this.options;
    try {
      const load = await fetchLoad(http, server, { timeoutMs: TIMEOUT_MS });
      if (load === undefined) {
        this.pausedUntilMs.set(server.serverId, clock.monotonicMs() + UNSUPPORTED_PAUSE_MS);
      } else {
        this.note(server, load);
      }
    } catch {
      // A server that does not report is judged by its answers; the traffic notices if it is gone.
    }
  }

  private note(server: ServerDescription, load: ServerLoad): void {
    const { clock, directory, liveHosts } = this.options;
    const lagMs = clock.wallMs() - load.reportedAtMs;
    const ageMs = lagMs >= 0 && lagMs <= MAX_LAG_MS ? lagMs : 0;
    const reportedAtMs = clock.monotonicMs() - ageMs;
    directory.noteReport(server.serverId, { ...load, reportedAtMs }, liveHosts());
  }
}

/**
 * Creates the poller of load reports. A server that has no such endpoint is judged by its answers alone.
 *
 * @param options - clock, client and directory
 * @returns the poller; close it to stop
 */
export default function createLoadPoller(options: LoadPollerOptions): LoadPoller {
  return new Poller(options);
}
