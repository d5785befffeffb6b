/** Monotonic times of the drain of a host that stops. */
export interface DrainTimes {
  readonly startedAtMs: number;
  /** Time at which open requests are aborted. */
  readonly endsAtMs: number;
}

/**
 * Time from the start of the drain within which every request is accepted. After it, the balancer has removed the host,
 * and requests that still arrive would often be aborted.
 */
const ACCEPT_ALL_MS = 2_800;

/**
 * Decides whether a draining host accepts a request. It accepts all requests while the balancer still sends requests to
 * it, and after that only those whose deadlines are before the end of the drain.
 *
 * @param deadlineAtMs - monotonic time of the request's deadline
 * @param drain - times of the drain
 * @param nowMs - monotonic time
 * @returns false if the caller should use another host
 * @example
 * acceptsWhileDraining(7_000, { startedAtMs: 0, endsAtMs: 7_500 }, 5_000); // true
 */
export default function acceptsWhileDraining(deadlineAtMs: number, drain: DrainTimes, nowMs: number): boolean {
  return nowMs - drain.startedAtMs <= ACCEPT_ALL_MS || deadlineAtMs <= drain.endsAtMs;
}
