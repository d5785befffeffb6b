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

/** Sends reports to every live entry host until each has confirmed them. */
export interface ReportOutbox {
  /** Sends a report; `lifetimeMs` bounds how long it is repeated. */
  send(report: PoisonReport, lifetimeMs: number): void;
  /** Stops repeating the block of a released fingerprint. */
  dropBlock(fingerprint: string): void;
  close(): void;
}

interface OpenReport {
  readonly report: PoisonReport;
  readonly expiresAtMs: number;
  /** Hosts that confirmed the report or are being asked. */
  readonly reached: Set<string>;
}

const REPORT_TIMEOUT_MS = 500;

/** A host that joins or misses a call gets the report within this time; idle when every host has confirmed. */
const REPEAT_MS = 300;

class Outbox implements ReportOutbox {
  private open: readonly OpenReport[] = [];

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: ReportOutboxOptions) {}

  send(report: PoisonReport, lifetimeMs: number): void {
    const expiresAtMs = this.options.clock.monotonicMs() + lifetimeMs;
    const entry = { report, expiresAtMs, reached: new Set<string>() };
    this.open = [...this.open, entry];
    this.deliver(entry);
    this.schedule();
  }

  dropBlock(fingerprint: string): void {
    this.open = this.open.filter(({ report }) => report.type !== 'block' || report.fingerprint !== fingerprint);
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private deliver(entry: OpenReport): void {
    const { clock, directory, hostId, peers } = this.options;
    const { reached } = entry;
    const remainingMs = entry.expiresAtMs - clock.monotonicMs();
    const report = entry.report.type === 'block' ? { ...entry.report, remainingMs } : entry.report;
    directory
      .liveHosts()
      .filter((host) => host.hostId !== hostId && !reached.has(host.hostId))
      .forEach((host) => {
        reached.add(host.hostId);
        const target = { address: host.address, port: host.peersPort };
        peers.call(target, POISON_REPORT, report, { timeoutMs: REPORT_TIMEOUT_MS }).catch(() => {
          reached.delete(host.hostId);
        });
      });
  }

  private schedule(): void {
    if (this.closed || this.timer !== undefined || this.open.length === 0) {
      return;
    }
    this.timer = this.options.clock.schedule(REPEAT_MS, () => {
      this.timer = undefined;
      const nowMs = this.options.clock.monotonicMs();
      this.open = this.open.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
      this.open.forEach((entry) => this.deliver(entry));
      this.schedule();
    });
  }
}

/**
 * Creates the outbox of poison reports. A report that is lost would let the request crash two further servers through
 * the host that missed it.
 *
 * @param options - peers and identity of this host
 * @returns the outbox; close it to stop repeating
 */
export default function createReportOutbox(options: ReportOutboxOptions): ReportOutbox {
  return new Outbox(options);
}
