import { planCommitInterval, rankShardOwners, SHARD_COUNT } from '@bergamotcove/decide';
import type { EntryHostView, PeerDirectory } from '../peers/types.js';

/** Which hosts own the shards. */
export interface OwnerTable {
  /** Hosts that the claims of a shard go to, owner first. */
  rank(shard: number): readonly EntryHostView[];
  /** Time between two commits of this host. */
  commitIntervalMs(): number;
}

/** What follows from one set of live hosts. */
interface View {
  readonly key: string;
  readonly ranked: Map<number, readonly string[]>;
  intervalMs: number | undefined;
}

class LiveOwnerTable implements OwnerTable {
  private view: View = { key: '', ranked: new Map(), intervalMs: undefined };

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
    const view = this.viewOf(hostIds);
    if (view.intervalMs === undefined) {
      const shards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
      const owners = new Set(shards.map((shard) => this.rankIds(shard, hostIds)[0]));
      const owner = hostIds.length === 0 || owners.has(this.hostId);
      view.intervalMs = planCommitInterval({ hosts: hostIds.length, owners: owners.size, owner });
    }
    return view.intervalMs;
  }

  private rankIds(shard: number, hostIds: readonly string[]): readonly string[] {
    const { ranked } = this.viewOf(hostIds);
    const known = ranked.get(shard);
    if (known !== undefined) {
      return known;
    }
    const ids = rankShardOwners(hostIds, shard);
    ranked.set(shard, ids);
    return ids;
  }

  private viewOf(hostIds: readonly string[]): View {
    const key = hostIds.join('\n');
    if (this.view.key !== key) {
      this.view = { key, ranked: new Map(), intervalMs: undefined };
    }
    return this.view;
  }
}

/**
 * Creates the table of shard owners. It ranks hosts again only when the live hosts change.
 *
 * @param directory - the live entry hosts
 * @param hostId - this host
 * @returns the table
 */
export default function createOwnerTable(directory: PeerDirectory, hostId: string): OwnerTable {
  return new LiveOwnerTable(directory, hostId);
}
