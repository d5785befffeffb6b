import type { Clock, Timer } from '@bergamotcove/clock';
import { POISON_REPORT, type PoisonReport } from '@bergamotcove/protocol';
import type { PeerClient } from '@bergamotcove/transport';
import type { PeerDirectory } from '../peers/types.js';

/** Options of {@link createReportOutbox}. */
export interface ReportOutboxOptions {
  readonly clock: Clock;
  readonly peers: PeerClient;
  readonly directory: PeerDirectory;
  readonly hostId: string;
}

/** Sends reports to every live entry host until each host has confirmed them. */
export interface ReportOutbox {
  /** Sends a report and resends it for at most `lifetimeMs` to hosts that have not confirmed it. */
  send(report: PoisonReport, lifetimeMs: number): void;
  /** Stops resending the block of a released fingerprint. */
  dropBlock(fingerprint: string): void;
  close(): void;
}

interface PendingReport {
  readonly report: PoisonReport;
  readonly expiresAtMs: number;
  /** Hosts that confirmed the report or have a call in flight. */
  readonly contactedHostIds: Set<string>;
}

const REPORT_TIMEOUT_MS = 500;

/** Interval after which hosts that joined or missed a call get the report; it makes no calls if all have confirmed. */
const RETRY_INTERVAL_MS = 300;

class Outbox implements ReportOutbox {
  private pending: readonly PendingReport[] = [];

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: ReportOutboxOptions) {}

  send(report: PoisonReport, lifetimeMs: number): void {
    const expiresAtMs = this.options.clock.monotonicMs() + lifetimeMs;
    const entry = { report, expiresAtMs, contactedHostIds: new Set<string>() };
    this.pending = [...this.pending, entry];
    this.deliver(entry);
    this.schedule();
  }

  dropBlock(fingerprint: string): void {
    this.pending = this.pending.filter(({ report }) => report.type !== 'block' || report.fingerprint !== fingerprint);
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private deliver(entry: PendingReport): void {
    const { clock, directory, hostId, peers } = this.options;
    const { contactedHostIds } = entry;
    const remainingMs = entry.expiresAtMs - clock.monotonicMs();
    const report = entry.report.type === 'block' ? { ...entry.report, remainingMs } : entry.report;
    directory
      .liveHosts()
      .filter((host) => host.hostId !== hostId && !contactedHostIds.has(host.hostId))
      .forEach((host) => {
        contactedHostIds.add(host.hostId);
        const target = { address: host.address, port: host.peersPort };
        peers.call(target, POISON_REPORT, report, { timeoutMs: REPORT_TIMEOUT_MS }).catch(() => {
          contactedHostIds.delete(host.hostId);
        });
      });
  }

  private schedule(): void {
    if (this.closed || this.timer !== undefined || this.pending.length === 0) {
      return;
    }
    this.timer = this.options.clock.schedule(RETRY_INTERVAL_MS, () => {
      this.timer = undefined;
      const nowMs = this.options.clock.monotonicMs();
      this.pending = this.pending.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
      this.pending.forEach((entry) => this.deliver(entry));
      this.schedule();
    });
  }
}

/**
 * Creates the outbox of poison reports. If a report were lost, the request could crash two more servers through the
 * host that missed it.
 *
 * @param options - peers and identity of this host
 * @returns the outbox; close it to stop resending
 */
export default function createReportOutbox(options: ReportOutboxOptions): ReportOutbox {
  return new Outbox(options);
}
