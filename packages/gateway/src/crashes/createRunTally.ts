import type { Clock } from '@bergamotcove/clock';
import type { PoisonSuspect } from '@bergamotcove/decide';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import { COUNT_RUNS, type RunQuery } from './messages.js';

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
    return this.ask(others, query, { own, enough: clearingRuns });
  }

  /** Queries the other hosts until the runs are enough, all have answered or the time limit has passed. */
  private ask(
    others: readonly HostEntry[],
    query: RunQuery,
    { own, enough }: { readonly own: number; readonly enough: number },
  ): Promise<number> {
    const { clock, links } = this.options;
    return new Promise((resolve) => {
      let runs = own;
      let open = others.length;
      const timer = clock.schedule(ANSWER_LIMIT_MS, () => resolve(runs));
      const settle = (more: number): void => {
        runs += more;
        open -= 1;
        if (runs >= enough || open === 0) {
          timer.close();
          resolve(runs);
        }
      };
      others.forEach(({ target }) => {
        links.call(target, COUNT_RUNS, query).then(
          (answer) => settle(typeof answer === 'number' ? answer : 0),
          // A host that cannot be reached, or does not know the method, counts as having observed no runs.
          () => settle(0),
        );
      });
    });
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
