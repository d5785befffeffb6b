import rankByRendezvous from '../rankByRendezvous.js';
import type { Member } from '../types.js';

/** Rendezvous key for the order of the representatives and of the probe ring. */
const RING_KEY = 'representative';

/** States in which a host is expected to answer its peers. */
const REACHABLE: readonly string[] = ['alive', 'suspect', 'leaving'];

/** Groups of the members that are used in every period. */
export interface MemberIndex {
  readonly byDomain: ReadonlyMap<string, readonly Member[]>;
  readonly reachable: readonly Member[];
  /** Members that are dead or have left. */
  readonly gone: readonly Member[];
  /** Reachable members outside the given failure domains; the same array for the same names. */
  liveOutside(lostDomains: readonly string[]): readonly Member[];
  /** Reachable members of a failure domain; the same array each time. */
  reachableIn(failureDomain: string): readonly Member[];
  /** Ids of the reachable members of a failure domain and `selfId` in the order of the probe ring; cached by domain. */
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

const getOrCreate = <Value>(store: Map<string, Value>, key: string, create: () => Value): Value => {
  const known = store.get(key) ?? create();
  store.set(key, known);
  return known;
};

/** Builds the index of members that no longer change. */
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
      getOrCreate(live, lostDomains.join('\0'), () =>
        lostDomains.length === 0
          ? reachable
          : reachable.filter(({ host }) => !lostDomains.includes(host.failureDomain)),
      ),
    reachableIn,
    ringOf: (failureDomain, selfId) =>
      getOrCreate(rings, failureDomain, () =>
        rankByRendezvous([...reachableIn(failureDomain).map(({ host }) => host.hostId), selfId], RING_KEY),
      ),
  };
}

const indexes = new WeakMap<ReadonlyMap<string, Member>, MemberIndex>();

/**
 * Indexes the members of a state. The index is cached by the map, because most events change no member and each tick
 * would otherwise iterate over a fleet of several hundred hosts.
 *
 * @param members - members of a state that no longer changes
 * @returns the index
 */
export default function indexMembers(members: ReadonlyMap<string, Member>): MemberIndex {
  const known = indexes.get(members) ?? buildIndex(members);
  indexes.set(members, known);
  return known;
}
