import xxhash from 'xxhash-wasm';
import type { MembershipState } from './types.js';

const { h64ToString } = await xxhash();

/** A suspicion passes within seconds and is no difference that an exchange of views has to settle. */
const settled = (state: string): string => (state === 'suspect' ? 'alive' : state);

/**
 * Hashes the hosts that a host believes to answer, itself included, so that two hosts can compare their views without
 * sending them. Hosts that are gone are left out, because each host forgets them at its own time.
 *
 * @param state - membership
 * @returns the hash
 */
export default function hashView({ self, phase, incarnation, members }: MembershipState): string {
  const lines = [...members.values()]
    .filter(({ state }) => state !== 'dead' && state !== 'left')
    .map((member) => `${member.host.hostId} ${settled(member.state)} ${member.incarnation}`);
  return h64ToString([...lines, `${self.hostId} ${phase} ${incarnation}`].sort().join('\n'));
}
