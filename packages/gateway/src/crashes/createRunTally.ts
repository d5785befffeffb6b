import type { Clock } from '@bergamotcove/clock';
import type { PoisonSuspect } from '@bergamotcove/decide';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import { COUNT_RUNS, type RunQuery } from './messages.js';
import queryHosts from './queryHosts.js';

/** Counts the successful runs of a request over all hosts. */
export interface RunTally {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  /** Counts the successful runs of a suspected request, as far as hosts answer in time. */
  count(suspect: PoisonSuspect): Promise<number>;
}

/** Options of {@link createRunTally}. */
export interface RunTallyOptions {
  readonly clock: Clock;
  readonly links: LinkClient;
  /** Counts the successful runs that this host has observed since a monotonic time. */
  readonly countRuns: (fingerprint: string, sinceMs: number) => number;
}

/** Hosts that do not answer within this time count as having observed no runs. */
const ANSWER_LIMIT_MS = 300;

class Tally implements RunTally {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: RunTallyOptions) {
    const { clock, countRuns } = options;
    this.methods = {
      [COUNT_RUNS]: (params) => {
        const { fingerprint, sinceAgoMs } = params as RunQuery;
        return countRuns(fingerprint, clock.monotonicMs() - sinceAgoMs);
      },
    };
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
  }

  async count({ fingerprint, sinceMs, clearingRuns }: PoisonSuspect): Promise<number> {
    const { clock, countRuns } = this.options;
    const own = countRuns(fingerprint, sinceMs);
    const { hosts } = this;
    const others = hosts?.list().filter(({ hostId }) => hostId !== hosts.self.hostId) ?? [];
    if (own >= clearingRuns || others.length === 0) {
      return own;
    }
    const query: RunQuery = { fingerprint, sinceAgoMs: clock.monotonicMs() - sinceMs };
    let runs = own;
    const onAnswer = (answer: unknown): boolean => {
      runs += typeof answer === 'number' ? answer : 0;
      return runs >= clearingRuns;
    };
    await queryHosts(others, { method: COUNT_RUNS, params: query, limitMs: ANSWER_LIMIT_MS, onAnswer }, this.options);
    return runs;
  }
}

/**
 * Creates the tally of a host.
 *
 * @param options - links to other hosts, and the runs that this host has observed
 * @returns the tally
 */
export default function createRunTally(options: RunTallyOptions): RunTally {
  return new Tally(options);
}
