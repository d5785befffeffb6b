import { exhaustive } from '@bergamotcove/errors';
import { GROWTH, MAX_COLD_DURATIONS, MAX_COLD_MS, MAX_GROWTH_MS } from './constants.js';
import type { PaceEvent, PaceRates, PaceSpec, PaceState } from './types.js';

/** A server of which nothing is known, and which has no limit. */
export const WARM: PaceState = {
  statedSinceMs: undefined,
  statedUntilMs: -Infinity,
  assumedUntilMs: -Infinity,
  resetAtMs: -Infinity,
  growth: Infinity,
};

/** Longest time for which servers of a pool count as cold. */
export const limitColdMs = (durationMs: number): number => Math.max(MAX_COLD_MS, durationMs * MAX_COLD_DURATIONS);

/** Monotonic time at which the cold time ends or has ended. */
export const readColdUntilMs = ({ statedUntilMs, assumedUntilMs }: PaceState): number =>
  Math.max(statedUntilMs, assumedUntilMs);

/**
 * Reads the requests a second that a server may get.
 *
 * @param state - what is known of the server
 * @param rates - rates of its pool
 * @param nowMs - monotonic time
 * @returns the rate; undefined without a limit
 */
export const readPaceRate = (state: PaceState, rates: PaceRates, nowMs: number): number | undefined => {
  const coldUntilMs = readColdUntilMs(state);
  if (nowMs < coldUntilMs) {
    return rates.cold;
  }
  const rate = rates.first * state.growth;
  return rate >= rates.last || nowMs - Math.max(coldUntilMs, state.resetAtMs) >= MAX_GROWTH_MS ? undefined : rate;
};

const toColdMs = (coldMs: number, maxMs: number): number => (coldMs > 0 ? Math.min(coldMs, maxMs) : 0);

const applyStatement = (
  before: PaceState,
  coldMs: number,
  { maxMs, nowMs }: { readonly maxMs: number; readonly nowMs: number },
): PaceState => {
  const forMs = toColdMs(coldMs, maxMs);
  if (forMs === 0) {
    return { ...before, statedSinceMs: undefined, statedUntilMs: Math.min(before.statedUntilMs, nowMs) };
  }
  const statedSinceMs = before.statedSinceMs ?? nowMs;
  const statedUntilMs = Math.min(nowMs + forMs, statedSinceMs + maxMs);
  const stated = { ...before, statedSinceMs, statedUntilMs };
  // One that says for ever that it is cold is not reset again after the longest cold time.
  return statedUntilMs > nowMs ? { ...stated, resetAtMs: nowMs, growth: 1 } : stated;
};

/** Ends the limit of a server for good when it is no constraint any more. */
const settle = (state: PaceState, { rates }: PaceSpec, nowMs: number): PaceState =>
  state.growth !== Infinity && readPaceRate(state, rates, nowMs) === undefined ? { ...state, growth: Infinity } : state;

const applyEvent = (before: PaceState, event: PaceEvent, { durationMs }: PaceSpec, nowMs: number): PaceState => {
  const maxMs = limitColdMs(durationMs);
  switch (event.type) {
    case 'stated':
      return applyStatement(before, event.coldMs, { maxMs, nowMs });
    case 'assumed': {
      const untilMs = Math.max(before.assumedUntilMs, nowMs + toColdMs(event.coldMs, maxMs));
      return { ...before, assumedUntilMs: untilMs, resetAtMs: nowMs, growth: 1 };
    }
    case 'suspected':
      return { ...before, resetAtMs: nowMs, growth: 1 };
    case 'strained':
      return before.growth === Infinity ? before : { ...before, resetAtMs: nowMs, growth: 1 };
    case 'quick':
      return event.sentAtMs < Math.max(readColdUntilMs(before), before.resetAtMs)
        ? before
        : { ...before, growth: before.growth * GROWTH ** event.count };
    default:
      return exhaustive(event);
  }
};

/**
 * Applies an observation of a server.
 *
 * @param before - what was known of it
 * @param event - the observation
 * @param options - cold time and rates of the servers of its pool, and the monotonic time
 * @returns what is known now
 * @example
 * advancePace(WARM, { type: 'stated', coldMs: 8_000 }, { spec, nowMs });
 */
export default function advancePace(
  before: PaceState,
  event: PaceEvent,
  { spec, nowMs }: { readonly spec: PaceSpec; readonly nowMs: number },
): PaceState {
  return settle(applyEvent(settle(before, spec, nowMs), event, spec, nowMs), spec, nowMs);
}
