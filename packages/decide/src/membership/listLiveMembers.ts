import type { Member, MembershipState } from './types.js';

/** States in which a host answers its peers. */
const REACHABLE: readonly string[] = ['alive', 'suspect', 'leaving'];

/**
 * Lists the other hosts that are believed to answer: neither dead nor left, and not in a lost failure domain.
 *
 * @param state - membership
 * @returns the members; a suspected host is live until the verdict
 */
export default function listLiveMembers(state: Pick<MembershipState, 'members' | 'domains'>): readonly Member[] {
  return [...state.members.values()].filter(
    (member) => REACHABLE.includes(member.state) && state.domains.get(member.host.failureDomain)?.state !== 'lost',
  );
}
