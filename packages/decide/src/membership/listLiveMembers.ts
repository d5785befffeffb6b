import indexMembers from './_lib/indexMembers.js';
import type { Member, MembershipState } from './types.js';

/**
 * Lists the other hosts that are considered reachable: neither dead nor left, and not in a lost failure domain.
 *
 * @param state - membership
 * @returns the members, the same array until they change; a suspected host is live until it is declared dead
 */
export default function listLiveMembers(state: Pick<MembershipState, 'members' | 'domains'>): readonly Member[] {
  const lost = [...state.domains].flatMap(([name, domain]) => (domain.state === 'lost' ? [name] : []));
  return indexMembers(state.members).liveOutside(lost);
}
