import rankByRendezvous from '../membership/rankByRendezvous.js';

/**
 * Gives each item to the host that ranks first for it by rendezvous hashing and has not reached the limit. All hosts
 * with the same view come to the same result; plain rendezvous hashing gives some hosts more than twice the mean.
 *
 * @param items - what is assigned
 * @param hostIds - hosts
 * @param options - name of the task, and items of one host at most; the limit times the hosts must cover the items
 * @returns host by item
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
  // The order of the items decides who gets the last place of a host, so it must not depend on the caller.
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
