import { OTHER_COMMITS_PER_SECOND, OWNER_COMMITS_PER_SECOND } from './constants.js';

const MS_PER_SECOND = 1_000;

/** Numbers of hosts that share the commit rate of the store. */
export interface CommitShares {
  /** Number of live hosts. */
  readonly hosts: number;
  /** Number of hosts that own at least one shard. */
  readonly owners: number;
  /** Whether this host owns at least one shard. */
  readonly owner: boolean;
}

/**
 * Computes the interval between the commits of one host, so that all hosts together stay within the commit rate of the
 * store whichever of them write. One commit carries the batches of all shards of the host.
 *
 * @param shares - numbers of hosts and owners, and whether this host is an owner
 * @returns time between two commits of the host in ms
 * @example
 * planCommitInterval({ hosts: 9, owners: 9, owner: true }); // 28.1
 */
export default function planCommitInterval({ hosts, owners, owner }: CommitShares): number {
  return owner
    ? (owners * MS_PER_SECOND) / OWNER_COMMITS_PER_SECOND
    : ((hosts - owners) * MS_PER_SECOND) / OTHER_COMMITS_PER_SECOND;
}
