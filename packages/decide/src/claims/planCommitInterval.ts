import { OTHER_COMMITS_PER_SECOND, OWNER_COMMITS_PER_SECOND } from './constants.js';

const MS_PER_SECOND = 1_000;

/** How the live hosts share the commits. */
export interface CommitShares {
  readonly hosts: number;
  /** Hosts that own at least one shard. */
  readonly owners: number;
  /** Whether this host owns a shard. */
  readonly owner: boolean;
}

/**
 * Spaces the commits of one host, so that all hosts together stay within the store's rate whoever writes. One commit
 * carries the batches of all shards of the host.
 *
 * @param shares - number of hosts and owners, and whether this host is one
 * @returns time between two commits of the host in ms
 * @example
 * planCommitInterval({ hosts: 9, owners: 9, owner: true }); // 28.1
 */
export default function planCommitInterval({ hosts, owners, owner }: CommitShares): number {
  return owner
    ? (owners * MS_PER_SECOND) / OWNER_COMMITS_PER_SECOND
    : ((hosts - owners) * MS_PER_SECOND) / OTHER_COMMITS_PER_SECOND;
}
