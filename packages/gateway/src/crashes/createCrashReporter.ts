import type { Clock, Timer } from '@bergamotcove/clock';
import { MAX_CRASHES, POISON_BLOCK_MS } from '@bergamotcove/decide';
import { TransportError, type LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import { REPORT_CRASH, type CrashReport } from './messages.js';

/** Tells the keepers of crashes what this host has seen. */
export interface CrashReporter {
  start(hosts: HostRegistry): void;
  report(crash: CrashReport): void;
  /** A request was released: nobody is told of crashes under it any more. */
  forget(fingerprint: string): void;
  close(): void;
}

/** Options of {@link createCrashReporter}. */
export interface CrashReporterOptions {
  readonly clock: Clock;
  readonly links: LinkClient;
}

interface OpenReport {
  readonly crash: CrashReport;
  readonly crashedAtMs: number;
  /** Starts of keepers that have confirmed it, or are being told. */
  readonly told: Set<string>;
}

/** Duty of the hosts that put together what the others have seen of crashes. */
const KEEPER_DUTY = 'crashes';
/** One may be lost with what it knows. */
const KEEPERS_PER_REGION = 2;
/** Time after which a report that was not confirmed goes to the keeper of then. */
const REPEAT_MS = 1_000;

const formatStart = ({ hostId, startId }: HostEntry): string => `${hostId} ${startId}`;

class Reporter implements CrashReporter {
  private open: readonly OpenReport[] = [];

  private hosts: HostRegistry | undefined;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: CrashReporterOptions) {}

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    hosts.onChange(() => this.tell());
  }

  report(crash: CrashReport): void {
    const crashedAtMs = this.options.clock.monotonicMs() - crash.agoMs;
    this.open = [...this.open, { crash, crashedAtMs, told: new Set<string>() }].slice(-MAX_CRASHES);
    this.tell();
  }

  forget(fingerprint: string): void {
    const without = (fingerprints: readonly string[]): readonly string[] =>
      fingerprints.filter((each) => each !== fingerprint);
    this.open = this.open.map(({ crash, ...report }) => ({
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

  /** Tells each keeper what it does not know; one that has just begun knows nothing. */
  private tell(): void {
    const { hosts } = this;
    const nowMs = this.options.clock.monotonicMs();
    this.open = this.open.filter(({ crashedAtMs }) => crashedAtMs + POISON_BLOCK_MS > nowMs);
    if (hosts === undefined || this.closed || this.open.length === 0) {
      return;
    }
    const keepers = hosts
      .regions()
      .flatMap((region) => hosts.rankOwners(KEEPER_DUTY, region).slice(0, KEEPERS_PER_REGION));
    keepers.filter(({ hostId }) => hostId !== hosts.self.hostId).forEach((keeper) => this.tellKeeper(keeper, hosts));
  }

  private tellKeeper(keeper: HostEntry, hosts: HostRegistry): void {
    const { clock, links } = this.options;
    const start = formatStart(keeper);
    this.open
      .filter(({ told }) => !told.has(start))
      .forEach(({ crash, crashedAtMs, told }) => {
        told.add(start);
        const report: CrashReport = { ...crash, agoMs: clock.monotonicMs() - crashedAtMs };
        links.call(keeper.target, REPORT_CRASH, report).catch((cause: unknown) => {
          // A host of another version that does not know the method is there, and tells nothing to others.
          if (!(cause instanceof TransportError && cause.code === 'invalid-message')) {
            told.delete(start);
            hosts.noteSilent(keeper.hostId);
            this.repeat();
          }
        });
      });
  }

  private repeat(): void {
    this.timer ??= this.options.clock.schedule(REPEAT_MS, () => {
      this.timer = undefined;
      this.tell();
    });
  }
}

/**
 * Creates the reporter of a host. It keeps what it has seen for as long as it counts, and tells it again when a region
 * has another keeper: a keeper has its knowledge in memory only.
 *
 * @param options - links to other hosts
 * @returns the reporter; close it to stop
 */
export default function createCrashReporter(options: CrashReporterOptions): CrashReporter {
  return new Reporter(options);
}
