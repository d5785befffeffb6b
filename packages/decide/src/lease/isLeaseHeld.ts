import type { LeaseState } from './types.js';

/**
 * Checks whether the holder may act under the lease. The holder checks before each action, so that a process that
 * resumes after a pause fences itself before its timers have fired.
 *
 * @param state - state of the lease
 * @param nowMs - monotonic time of the holder
 * @returns true while the lease has certainly not expired in the store
 * @example
 * if (isLeaseHeld(lease, clock.monotonicMs())) sendOrder();
 */
export default function isLeaseHeld(state: LeaseState, nowMs: number): boolean {
  return state.type === 'held' && nowMs < state.fencedMs;
}
