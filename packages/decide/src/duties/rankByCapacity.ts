import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/** A host that may take a duty. */
export interface DutyCandidate {
  readonly hostId: string;
  /** What the host can carry, relative to others. */
  readonly capacity: number;
}

const HASH_RANGE = 2 ** 64;
/** How strongly large hosts are preferred; a few of them lead before ten times as many small ones. */
const CAPACITY_POWER = 4;
const MIN_CAPACITY = 1e-3;

const scoreHost = ({ hostId, capacity }: DutyCandidate, duty: string): number => {
  const share = (Number(h64(`${duty}\0${hostId}`)) + 1) / (HASH_RANGE + 1);
  return Math.max(MIN_CAPACITY, capacity) ** CAPACITY_POWER / -Math.log(share);
};

/**
 * Orders hosts by weighted rendezvous hashing. All hosts with the same view get the same order, the loss of one host
 * moves only what that host had, and hosts with more capacity lead more often.
 *
 * @param hosts - candidates
 * @param duty - what is assigned
 * @returns the hosts, best first
 * @example
 * const [owner, next] = rankByCapacity(hosts, 'schedule');
 */
export default function rankByCapacity<Host extends DutyCandidate>(
  hosts: readonly Host[],
  duty: string,
): readonly Host[] {
  return hosts
    .map((host) => ({ host, score: scoreHost(host, duty) }))
    .sort((one, other) => other.score - one.score || (one.host.hostId < other.host.hostId ? -1 : 1))
    .map(({ host }) => host);
}
