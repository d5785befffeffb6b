import { createManualClock, type ManualClock } from '@bergamotcove/clock';
import type { ColdStartSpec } from '@bergamotcove/config';
import type { LinkMethod, LinkPeer } from '@bergamotcove/transport';
import createBackendDirectory from '../catalogue/createBackendDirectory.js';
import createEvacuations, { type Evacuations } from '../catalogue/createEvacuations.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import createStoreNews, { type StoreNews } from '../catalogue/createStoreNews.js';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import createPaceTable, { type PaceTable } from '../limits/createPaceTable.js';
import createRateLimits, { type RateLimits } from '../limits/createRateLimits.js';
import type { ServerEntry } from '../ports.js';
import sampleFormat from './sampleFormat.js';

/** A host with its rate limits. */
export interface PaceHost {
  readonly limits: RateLimits;
  readonly paces: PaceTable;
  readonly news: StoreNews;
  readonly evacuations: Evacuations;
  /** Writes the entry of a server of pool `p` in failure domain `a` to the directory of this host. */
  put(serverId: string, changes?: Partial<ServerEntry>): void;
}

/** Hosts with links between them in virtual time. */
export interface PaceFleet {
  readonly clock: ManualClock;
  readonly hosts: readonly PaceHost[];
  /** Names and parameters of the calls between hosts. */
  readonly calls: { readonly method: string; readonly params: object }[];
  /** Moves time forward; all hosts but the given ones have news of the store. */
  advance(ms: number, withoutNews?: readonly number[]): void;
}

/** Options of {@link createPaceFleet}. */
export interface PaceFleetOptions {
  readonly hosts: number;
  readonly coldStart?: ColdStartSpec;
  /** Ranking of the hosts for the duty of a server, as a host sees it. */
  readonly rank: (host: number) => readonly number[];
  /** Hosts of an earlier version, which know nothing of cold starts. */
  readonly older?: readonly number[];
  readonly onEvent?: (name: string) => void;
}

const PEER: LinkPeer = { remoteAddress: '10.0.0.1', onClose: () => () => undefined };
const REGIONS = { a: 'r1', b: 'r1' };

/**
 * Creates hosts in virtual time. A call between them is answered within the same instant.
 *
 * @param options - hosts, the cold start of pool `p`, and who hands out sends
 * @returns the fleet
 */
export default function createPaceFleet(options: PaceFleetOptions): PaceFleet {
  const clock = createManualClock();
  const methods = new Map<number, Readonly<Record<string, LinkMethod>>>();
  const calls: { readonly method: string; readonly params: object }[] = [];
  const entries = Array.from({ length: options.hosts }, (_, port): HostEntry => {
    const place = { failureDomain: 'a', region: 'r1', capacity: 1, startId: '1' };
    return { hostId: `h${port}`, target: { address: '10.0.0.1', port }, ...place };
  });
  const tables = {
    current: () => ({ pools: new Map([['p', { coldStart: options.coldStart }]]) }),
  } as unknown as RouteTableHolder;

  const createHost = (self: HostEntry, index: number): PaceHost => {
    let revision = 0;
    const logger = { event: (name: string) => options.onEvent?.(name) };
    const evacuations = createEvacuations({ logger, regions: () => REGIONS });
    const evacuationEnds = new Map<string, number>();
    evacuations.onChange((ended) => ended.forEach((domain) => evacuationEnds.set(domain, clock.monotonicMs())));
    const shared = { clock, logger, evacuations };
    const directory = createBackendDirectory({ ...shared, format: sampleFormat, regions: REGIONS });
    const news = createStoreNews(clock);
    const bound = { overage: 1.5, slack: 5 };
    const paces = createPaceTable({ ...shared, directory, tables, news, bound, evacuationEnds });
    const limits = createRateLimits({
      ...shared,
      directory,
      metrics: { report: () => undefined } as unknown as Parameters<typeof createRateLimits>[0]['metrics'],
      links: {
        call: async (target, method, params) => {
          calls.push({ method, params });
          const isOlder = options.older?.includes(target.port) === true;
          const sent = JSON.parse(JSON.stringify({ ...params, ...(isOlder ? { paces: undefined } : {}) })) as object;
          return JSON.parse(JSON.stringify(await methods.get(target.port)?.[method]?.(sent, PEER))) as unknown;
        },
        notify: () => undefined,
        close: () => undefined,
      },
      region: 'r1',
      dutyOf: () => 'duty',
      ...(options.older?.includes(index) === true ? {} : { paces }),
    });
    limits.start({
      self,
      list: () => entries,
      rankOwners: () => options.rank(index).map((rank) => entries[rank]),
      noteSilent: () => undefined,
      onChange: () => undefined,
    } as unknown as HostRegistry);
    methods.set(index, limits.methods);
    news.note();
    const put = (serverId: string, changes: Partial<ServerEntry> = {}): void => {
      revision += 1;
      const entry = { pool: 'p', address: '10.0.0.2', port: 1, failureDomain: 'a', state: 'live', startedAtMs: 1 };
      directory.put({ serverId, revision, text: JSON.stringify({ ...entry, ...changes }) });
    };
    return { limits, paces, news, evacuations, put };
  };

  const hosts = entries.map(createHost);
  return {
    clock,
    hosts,
    calls,
    advance: (ms, withoutNews = []) => {
      clock.advance(ms);
      hosts.filter((_, index) => !withoutNews.includes(index)).forEach(({ news }) => news.note());
    },
  };
}
