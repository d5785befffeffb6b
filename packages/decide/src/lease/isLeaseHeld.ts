import type { LeaseState } from './types.js';

/**
 * Whether the holder may act under the lease. The holder asks before each action, so a process that resumes after a
 * pause fences itself before its timers have run.
 *
 * @param state - lease
 * @param nowMs - monotonic time of the holder
 * @returns true while the lease is certain to stand in the store
 * @example
 * if (isLeaseHeld(lease, clock.monotonicMs())) sendOrder();
 */
export default function isLeaseHeld(state: LeaseState, nowMs: number): boolean {
  return state.type === 'held' && nowMs < state.fencedMs;
}
