import type { ListedHost } from '@bergamotcove/protocol';

/** Difference between two versions of the host list. */
export interface HostsDiff {
  readonly changed: readonly ListedHost[];
  readonly removed: readonly string[];
}

const FIELDS = ['role', 'address', 'port', 'peerPort', 'pool', 'failureDomain', 'region', 'state'] as const;

const isSame = (a: ListedHost, b: ListedHost | undefined): boolean =>
  b !== undefined && FIELDS.every((field) => a[field] === b[field]);

/**
 * Compares two versions of the host list.
 *
 * @param before - entries of the old version by id
 * @param after - entries of the new version by id
 * @returns new and changed entries, and the ids of removed entries
 */
export default function diffHosts(
  before: ReadonlyMap<string, ListedHost>,
  after: ReadonlyMap<string, ListedHost>,
): HostsDiff {
  return {
    changed: [...after.values()].filter((host) => !isSame(host, before.get(host.id))),
    removed: [...before.keys()].filter((id) => !after.has(id)),
  };
}
