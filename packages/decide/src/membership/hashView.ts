import xxhash from 'xxhash-wasm';
import type { MembershipState } from './types.js';

const { h64ToString } = await xxhash();

/** Maps a suspicion to the state before it: it ends within seconds, so it is no difference that needs a sync. */
const ignoreSuspicion = (state: string): string => (state === 'suspect' ? 'alive' : state);

/**
 * Hashes the hosts that a host considers reachable, itself included, so that two hosts can compare their views without
 * sending them. Dead and left hosts are excluded, because each host removes them at a different time.
 *
 * @param state - membership
 * @returns the hash, 16 hexadecimal digits
 */
export default function hashView({ self, phase, incarnation, members }: MembershipState): string {
  const lines = [...members.values()]
    .filter(({ state }) => state !== 'dead' && state !== 'left')
    .map((member) => `${member.host.hostId} ${ignoreSuspicion(member.state)} ${member.incarnation}`);
  return h64ToString([...lines, `${self.hostId} ${phase} ${incarnation}`].sort().join('\n'));
}
