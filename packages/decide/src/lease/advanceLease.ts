import { exhaustive } from '@bergamotcove/errors';
import type { Random } from '../routing/types.js';
import { LEASE_MARGIN_RATIO, LEASE_RENEW_RATIO, LEASE_RETRY_MS, LEASE_SPREAD_MS } from './constants.js';
import isLeaseHeld from './isLeaseHeld.js';
import type { LeaseEvent, LeaseState, LeaseStep } from './types.js';

const keep = (state: LeaseState): LeaseStep => ({ state, actions: [] });

/** The time to live counts from the start of the call, because the store may have started it before its answer came. */
const hold = (event: Extract<LeaseEvent, { type: 'granted' | 'renewed' }>, nowMs: number): LeaseStep => {
  const { leaseId, startedMs, ttlMs } = event;
  const fencedMs = startedMs + ttlMs * (1 - LEASE_MARGIN_RATIO);
  const renewMs = startedMs + ttlMs * LEASE_RENEW_RATIO;
  return nowMs < fencedMs
    ? keep({ type: 'held', leaseId, fencedMs, renewMs, renewing: false })
    : { state: { type: 'none', retryMs: nowMs }, actions: [{ type: 'lost', leaseId }] };
};

/** Gets or renews the lease, at the times that the state names or, when `now` is set, at once. */
const tick = (state: LeaseState, nowMs: number, now: boolean): LeaseStep => {
  if (state.type === 'none' && (now || nowMs >= state.retryMs)) {
    return { state: { type: 'granting', startedMs: nowMs }, actions: [{ type: 'grant' }] };
  }
  if (state.type !== 'held') {
    return keep(state);
  }
  if (!isLeaseHeld(state, nowMs)) {
    return { state: { type: 'none', retryMs: nowMs }, actions: [{ type: 'lost', leaseId: state.leaseId }] };
  }
  return (now || nowMs >= state.renewMs) && !state.renewing
    ? { state: { ...state, renewing: true }, actions: [{ type: 'renew', leaseId: state.leaseId }] }
    : keep(state);
};

const fail = (state: LeaseState, nowMs: number, random: Random): LeaseStep => {
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
 * @param state - lease
 * @param event - what happened
 * @param nowMs - monotonic time of the holder
 * @param random - source of random numbers
 * @returns the new state and the calls to make
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
      return state.type === 'granting' ? hold(event, nowMs) : keep(state);
    case 'renewed':
      // A remaining time of zero says that the store let the lease lapse.
      return state.type === 'held' && state.leaseId === event.leaseId ? hold(event, nowMs) : keep(state);
    case 'failed':
      return fail(state, nowMs, random);
    case 'forgotten':
      return keep({ type: 'none', retryMs: nowMs + LEASE_SPREAD_MS * random() });
    default:
      return exhaustive(event);
  }
}
