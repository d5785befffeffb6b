import rankByRendezvous from '../membership/rankByRendezvous.js';

/**
 * Assigns each item by bounded rendezvous hashing to the first host in its ranking that is below the limit. All hosts
 * with the same view get the same result. Without the bound, some hosts would get more than twice the mean.
 *
 * @param items - items to assign
 * @param hostIds - ids of the hosts
 * @param options - name of the task, and most items of one host; limit times hosts must not be less than the items
 * @returns host id by item
 * @example
 * spreadByRendezvous(['s1', 's2'], hostIds, { task: 'load', limit: 1 }).get('s1');
 */
export default function spreadByRendezvous(
  items: readonly string[],
  hostIds: readonly string[],
  options: { readonly task: string; readonly limit: number },
): ReadonlyMap<string, string> {
  const { task, limit } = options;
  const counts = new Map<string, number>();
  const hostOf = new Map<string, string>();
  // Items are sorted, because their order decides which one reaches a host before its limit; it must not depend on the
  // caller.
  [...items].sort().forEach((item) => {
    const ranked = rankByRendezvous(hostIds, `${task} ${item}`);
    const host = ranked.find((hostId) => (counts.get(hostId) ?? 0) < limit);
    if (host !== undefined) {
      hostOf.set(item, host);
      counts.set(host, (counts.get(host) ?? 0) + 1);
    }
  });
  return hostOf;
}
