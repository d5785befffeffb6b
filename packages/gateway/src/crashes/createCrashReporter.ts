import type { Clock, Timer } from '@bergamotcove/clock';
import { MAX_CRASHES, POISON_BLOCK_MS } from '@bergamotcove/decide';
import { TransportError, type LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import { REPORT_CRASH, type CrashReport } from './messages.js';

/** Reports the crashes that this host has observed to the collectors of crashes. */
export interface CrashReporter {
  start(hosts: HostRegistry): void;
  report(crash: CrashReport): void;
  /** Removes a released request from the reports, so that no collector counts its crashes again. */
  forget(fingerprint: string): void;
  close(): void;
}

/** Options of {@link createCrashReporter}. */
export interface CrashReporterOptions {
  readonly clock: Clock;
  readonly links: LinkClient;
}

interface RetainedReport {
  readonly crash: CrashReport;
  readonly crashedAtMs: number;
  /** Collectors, by host and start, that have confirmed the report or to which it is being sent. */
  readonly sentTo: Set<string>;
}

/** Duty of the hosts that collect the crashes that all hosts have observed. */
const COLLECTOR_DUTY = 'crashes';
/** Number of collectors in a region, so that the loss of one and its memory is tolerated. */
const COLLECTORS_PER_REGION = 2;
/** Delay before an unconfirmed report is sent to the collectors again, which may be other hosts by then. */
const RETRY_MS = 1_000;

const formatStart = ({ hostId, startId }: HostEntry): string => `${hostId} ${startId}`;

class Reporter implements CrashReporter {
  private retained: readonly RetainedReport[] = [];

  private hosts: HostRegistry | undefined;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: CrashReporterOptions) {}

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    hosts.onChange(() => this.sendReports());
  }

  report(crash: CrashReport): void {
    const crashedAtMs = this.options.clock.monotonicMs() - crash.agoMs;
    this.retained = [...this.retained, { crash, crashedAtMs, sentTo: new Set<string>() }].slice(-MAX_CRASHES);
    this.sendReports();
  }

  forget(fingerprint: string): void {
    const without = (fingerprints: readonly string[]): readonly string[] =>
      fingerprints.filter((each) => each !== fingerprint);
    this.retained = this.retained.map(({ crash, ...report }) => ({
      ...report,
      crash: {
        ...crash,
        fingerprints: without(crash.fingerprints),
        doubtful: without(crash.doubtful),
        answered: without(crash.answered ?? []),
      },
    }));
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  /** Sends each collector the reports that it does not have; a newly started one has none. */
  private sendReports(): void {
    const { hosts } = this;
    const nowMs = this.options.clock.monotonicMs();
    this.retained = this.retained.filter(({ crashedAtMs }) => crashedAtMs + POISON_BLOCK_MS > nowMs);
    if (hosts === undefined || this.closed || this.retained.length === 0) {
      return;
    }
    const collectors = hosts
      .regions()
      .flatMap((region) => hosts.rankOwners(COLLECTOR_DUTY, region).slice(0, COLLECTORS_PER_REGION));
    collectors
      .filter(({ hostId }) => hostId !== hosts.self.hostId)
      .forEach((collector) => this.sendTo(collector, hosts));
  }

  private sendTo(collector: HostEntry, hosts: HostRegistry): void {
    const { clock, links } = this.options;
    const start = formatStart(collector);
    this.retained
      .filter(({ sentTo }) => !sentTo.has(start))
      .forEach(({ crash, crashedAtMs, sentTo }) => {
        sentTo.add(start);
        const report: CrashReport = { ...crash, agoMs: clock.monotonicMs() - crashedAtMs };
        links.call(collector.target, REPORT_CRASH, report).catch((cause: unknown) => {
          // A host of another version that does not know the method is alive but collects nothing: no retry.
          if (!(cause instanceof TransportError && cause.code === 'invalid-message')) {
            sentTo.delete(start);
            hosts.noteSilent(collector.hostId);
            this.scheduleRetry();
          }
        });
      });
  }

  private scheduleRetry(): void {
    this.timer ??= this.options.clock.schedule(RETRY_MS, () => {
      this.timer = undefined;
      this.sendReports();
    });
  }
}

/**
 * Creates the reporter of a host. It keeps each report for as long as the crash counts, and sends it again when a
 * region has another collector, because collectors keep reports in memory only.
 *
 * @param options - links to other hosts
 * @returns the reporter; close it to stop its retries
 */
export default function createCrashReporter(options: CrashReporterOptions): CrashReporter {
  return new Reporter(options);
}
