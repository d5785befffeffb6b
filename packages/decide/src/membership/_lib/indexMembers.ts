import rankByRendezvous from '../rankByRendezvous.js';
import type { Member } from '../types.js';

/** Key under which representatives and the probe ring are ordered. */
const RING_KEY = 'representative';

/** States in which a host answers its peers. */
const REACHABLE: readonly string[] = ['alive', 'suspect', 'leaving'];

/** Groups of the members that every period needs. */
export interface MemberIndex {
  readonly byDomain: ReadonlyMap<string, readonly Member[]>;
  readonly reachable: readonly Member[];
  /** Members that are dead or have left. */
  readonly gone: readonly Member[];
  /** Reachable members outside the named failure domains; the same array for the same names. */
  liveOutside(lostDomains: readonly string[]): readonly Member[];
  /** Reachable members of a failure domain; the same array each time. */
  reachableIn(failureDomain: string): readonly Member[];
  /** Ids of a failure domain and the own id in the order of the probe ring. */
  ringOf(failureDomain: string, selfId: string): readonly string[];
}

const groupByDomain = (members: readonly Member[]): ReadonlyMap<string, readonly Member[]> => {
  const groups = new Map<string, Member[]>();
  members.forEach((member) => {
    const group = groups.get(member.host.failureDomain);
    if (group === undefined) {
      groups.set(member.host.failureDomain, [member]);
    } else {
      group.push(member);
    }
  });
  return groups;
};

const remember = <Value>(store: Map<string, Value>, key: string, create: () => Value): Value => {
  const known = store.get(key) ?? create();
  store.set(key, known);
  return known;
};

/** Groups members that do not change any more. */
export function buildIndex(members: ReadonlyMap<string, Member>): MemberIndex {
  const all = [...members.values()];
  const reachable = all.filter(({ state }) => REACHABLE.includes(state));
  const reachableGroups = groupByDomain(reachable);
  const live = new Map<string, readonly Member[]>();
  const rings = new Map<string, readonly string[]>();
  const reachableIn = (failureDomain: string): readonly Member[] => reachableGroups.get(failureDomain) ?? [];
  return {
    byDomain: groupByDomain(all),
    reachable,
    gone: all.filter(({ state }) => !REACHABLE.includes(state)),
    liveOutside: (lostDomains) =>
      remember(live, lostDomains.join('\0'), () =>
        lostDomains.length === 0
          ? reachable
          : reachable.filter(({ host }) => !lostDomains.includes(host.failureDomain)),
      ),
    reachableIn,
    ringOf: (failureDomain, selfId) =>
      remember(rings, failureDomain, () =>
        rankByRendezvous([...reachableIn(failureDomain).map(({ host }) => host.hostId), selfId], RING_KEY),
      ),
  };
}

const indexes = new WeakMap<ReadonlyMap<string, Member>, MemberIndex>();

/**
 * Groups the members of a state. The groups are kept with the map, because most events change no member and a fleet
 * of several hundred hosts would otherwise be walked on every tick.
 *
 * @param members - members of a state that is not changed any more
 * @returns the groups
 */
export default function indexMembers(members: ReadonlyMap<string, Member>): MemberIndex {
  const known = indexes.get(members) ?? buildIndex(members);
  indexes.set(members, known);
  return known;
}
