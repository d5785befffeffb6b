import { exhaustive } from '@bergamotcove/errors';
import expireState from './_lib/expireState.js';
import { POISON_BLOCK_MS } from './constants.js';
import noteCrash from './noteCrash.js';
import type { PoisonEvent, PoisonState, PoisonStep } from './types.js';

const block = (state: PoisonState, fingerprints: readonly string[], untilMs: number): PoisonStep => {
  const blocked = [...new Set(fingerprints)].filter((fingerprint) => !state.blocks.has(fingerprint));
  const added = blocked.map((fingerprint): [string, number] => [fingerprint, untilMs]);
  return { state: { ...state, blocks: new Map([...state.blocks, ...added]) }, blocked };
};

const without = (fingerprints: ReadonlySet<string>, removed: string): ReadonlySet<string> =>
  fingerprints.has(removed) ? new Set([...fingerprints].filter((each) => each !== removed)) : fingerprints;

/** Forgets the crashes under a request. */
const acquit = (state: PoisonState, acquitted: string): PoisonState => ({
  ...state,
  crashes: state.crashes
    .map((crash) => ({
      ...crash,
      fingerprints: without(crash.fingerprints, acquitted),
      doubtful: without(crash.doubtful, acquitted),
      answered: without(crash.answered, acquitted),
    }))
    .filter(({ fingerprints, answered }) => fingerprints.size + answered.size > 0),
});

const release = (state: PoisonState, released: string): PoisonState => ({
  ...acquit(state, released),
  blocks: new Map([...state.blocks].filter(([fingerprint]) => fingerprint !== released)),
});

/**
 * Advances the suspicions of one host by one event. A fingerprint is blocked when a crash charges it, see
 * {@link noteCrash}. A request that shared one crash is never blocked.
 *
 * @param state - state before the event
 * @param event - what happened
 * @param nowMs - monotonic time
 * @returns the new state and the fingerprints that are newly blocked
 * @example
 * const { state, blocked } = advancePoison(before, { type: 'crash', serverId: 's1', fingerprints: ['f'] }, nowMs);
 */
export default function advancePoison(state: PoisonState, event: PoisonEvent, nowMs: number): PoisonStep {
  const current = expireState(state, nowMs);
  switch (event.type) {
    case 'crash': {
      const { state: next, charges } = noteCrash(current, event, nowMs);
      const charged = charges.map(({ fingerprint }) => fingerprint);
      return block(next, charged, nowMs + POISON_BLOCK_MS);
    }
    case 'block':
      return block(current, [event.fingerprint], nowMs + Math.min(event.remainingMs, POISON_BLOCK_MS));
    case 'cleared':
      return { state: acquit(current, event.fingerprint), blocked: [] };
    case 'release':
      return { state: release(current, event.fingerprint), blocked: [] };
    default:
      return exhaustive(event);
  }
}
