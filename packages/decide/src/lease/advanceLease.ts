import { exhaustive } from '@bergamotcove/errors';
import type { Random } from '../routing/types.js';
import { LEASE_MARGIN_RATIO, LEASE_RENEW_RATIO, LEASE_RETRY_MS, LEASE_JITTER_MS } from './constants.js';
import isLeaseHeld from './isLeaseHeld.js';
import type { LeaseEvent, LeaseState, LeaseStep } from './types.js';

const keep = (state: LeaseState): LeaseStep => ({ state, actions: [] });

/**
 * Holds a granted or renewed lease. Its time to live counts from the start of the call, because the store may have
 * started it any time before its reply arrived.
 */
const applyLease = (event: Extract<LeaseEvent, { type: 'granted' | 'renewed' }>, nowMs: number): LeaseStep => {
  const { leaseId, startedMs, ttlMs } = event;
  const fencedMs = startedMs + ttlMs * (1 - LEASE_MARGIN_RATIO);
  const renewMs = startedMs + ttlMs * LEASE_RENEW_RATIO;
  return nowMs < fencedMs
    ? keep({ type: 'held', leaseId, fencedMs, renewMs, renewing: false })
    : { state: { type: 'none', retryMs: nowMs }, actions: [{ type: 'lost', leaseId }] };
};

/** Requests or renews the lease, either when the time in the state has come or immediately. */
const tick = (state: LeaseState, nowMs: number, immediately: boolean): LeaseStep => {
  if (state.type === 'none' && (immediately || nowMs >= state.retryMs)) {
    return { state: { type: 'granting', startedMs: nowMs }, actions: [{ type: 'grant' }] };
  }
  if (state.type !== 'held') {
    return keep(state);
  }
  if (!isLeaseHeld(state, nowMs)) {
    return { state: { type: 'none', retryMs: nowMs }, actions: [{ type: 'lost', leaseId: state.leaseId }] };
  }
  return (immediately || nowMs >= state.renewMs) && !state.renewing
    ? { state: { ...state, renewing: true }, actions: [{ type: 'renew', leaseId: state.leaseId }] }
    : keep(state);
};

const scheduleRetry = (state: LeaseState, nowMs: number, random: Random): LeaseStep => {
  const retryMs = nowMs + LEASE_RETRY_MS * (0.5 + random());
  switch (state.type) {
    case 'none':
      return keep(state);
    case 'granting':
      return keep({ type: 'none', retryMs });
    case 'held':
      return keep({ ...state, renewing: false, renewMs: retryMs });
    default:
      return exhaustive(state);
  }
};

/**
 * Advances a lease by one event.
 *
 * @param state - state of the lease
 * @param event - the event
 * @param nowMs - monotonic time of the holder
 * @param random - source of random numbers
 * @returns the new state and the actions to perform
 * @example
 * const { state: next, actions } = advanceLease(state, { type: 'tick' }, clock.monotonicMs(), Math.random);
 */
export default function advanceLease(state: LeaseState, event: LeaseEvent, nowMs: number, random: Random): LeaseStep {
  switch (event.type) {
    case 'tick':
      return tick(state, nowMs, false);
    case 'requested':
      return tick(state, nowMs, true);
    case 'granted':
      return state.type === 'granting' ? applyLease(event, nowMs) : keep(state);
    case 'renewed':
      // A time to live of zero means that the lease has expired in the store.
      return state.type === 'held' && state.leaseId === event.leaseId ? applyLease(event, nowMs) : keep(state);
    case 'failed':
      return scheduleRetry(state, nowMs, random);
    case 'forgotten':
      return keep({ type: 'none', retryMs: nowMs + LEASE_JITTER_MS * random() });
    default:
      return exhaustive(event);
  }
}
