import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/** A host that a duty may be assigned to. */
export interface DutyCandidate {
  readonly hostId: string;
  /** Relative capacity of the host. */
  readonly capacity: number;
}

const HASH_RANGE = 2 ** 64;
/** Exponent of the capacity in the weight; with it a few large hosts outrank ten times as many small ones. */
const CAPACITY_EXPONENT = 4;
const MIN_CAPACITY = 1e-3;

const scoreHost = ({ hostId, capacity }: DutyCandidate, duty: string): number => {
  const hashFraction = (Number(h64(`${duty}\0${hostId}`)) + 1) / (HASH_RANGE + 1);
  return Math.max(MIN_CAPACITY, capacity) ** CAPACITY_EXPONENT / -Math.log(hashFraction);
};

/**
 * Orders hosts by weighted rendezvous hashing. All hosts with the same view compute the same order, the loss of a host
 * moves only the duties of that host, and hosts with more capacity come first more often.
 *
 * @param hosts - candidates
 * @param duty - name of the duty
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
