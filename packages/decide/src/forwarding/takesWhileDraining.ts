/** Times of a host that stops, monotonic. */
export interface DrainTimes {
  readonly startedAtMs: number;
  /** Time at which open requests are broken off. */
  readonly endsAtMs: number;
}

/** The balancer has taken the host out by then; what still comes would often be broken off. */
const TAKE_ALL_MS = 2_800;

/**
 * Decides whether a host that stops takes a request. While the balancer still sends requests here, all of them are
 * taken; after that only those that end in time whatever happens.
 *
 * @param deadlineAtMs - time after which the request has its answer
 * @param drain - times of the stop
 * @param nowMs - monotonic time
 * @returns false when the caller should go to another host
 * @example
 * takesWhileDraining(7_000, { startedAtMs: 0, endsAtMs: 7_500 }, 5_000); // true
 */
export default function takesWhileDraining(deadlineAtMs: number, drain: DrainTimes, nowMs: number): boolean {
  return nowMs - drain.startedAtMs <= TAKE_ALL_MS || deadlineAtMs <= drain.endsAtMs;
}
