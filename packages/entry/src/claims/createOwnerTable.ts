import { planCommitInterval, rankShardOwners, SHARD_COUNT } from '@bergamotcove/decide';
import type { EntryHostView, PeerDirectory } from '../peers/types.js';

/** Ownership of the shards. */
export interface OwnerTable {
  /** Ranks the live hosts that can commit for a shard, owner first. */
  rank(shard: number): readonly EntryHostView[];
  /** Time between two commits of this host. */
  commitIntervalMs(): number;
}

/** Values derived from one set of live hosts. */
interface RankingCache {
  readonly key: string;
  readonly ranked: Map<number, readonly string[]>;
  intervalMs: number | undefined;
}

class LiveOwnerTable implements OwnerTable {
  private cache: RankingCache = { key: '', ranked: new Map(), intervalMs: undefined };

  constructor(
    private readonly directory: PeerDirectory,
    private readonly hostId: string,
  ) {}

  rank(shard: number): readonly EntryHostView[] {
    const hosts = new Map(this.directory.liveHosts().map((host) => [host.hostId, host]));
    return this.rankIds(shard, [...hosts.keys()]).flatMap((hostId) => hosts.get(hostId) ?? []);
  }

  commitIntervalMs(): number {
    const hostIds = this.directory.liveHosts().map((host) => host.hostId);
    const cache = this.getCache(hostIds);
    if (cache.intervalMs === undefined) {
      const shards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
      const owners = new Set(shards.map((shard) => this.rankIds(shard, hostIds)[0]));
      const owner = hostIds.length === 0 || owners.has(this.hostId);
      cache.intervalMs = planCommitInterval({ hosts: hostIds.length, owners: owners.size, owner });
    }
    return cache.intervalMs;
  }

  private rankIds(shard: number, hostIds: readonly string[]): readonly string[] {
    const { ranked } = this.getCache(hostIds);
    const ranking = ranked.get(shard);
    if (ranking !== undefined) {
      return ranking;
    }
    const ids = rankShardOwners(hostIds, shard);
    ranked.set(shard, ids);
    return ids;
  }

  private getCache(hostIds: readonly string[]): RankingCache {
    const key = hostIds.join('\n');
    if (this.cache.key !== key) {
      this.cache = { key, ranked: new Map(), intervalMs: undefined };
    }
    return this.cache;
  }
}

/**
 * Creates the table of shard owners. Rankings are recomputed only when the set of live hosts changes.
 *
 * @param directory - the live entry hosts
 * @param hostId - id of this host
 * @returns the table
 */
export default function createOwnerTable(directory: PeerDirectory, hostId: string): OwnerTable {
  return new LiveOwnerTable(directory, hostId);
}
