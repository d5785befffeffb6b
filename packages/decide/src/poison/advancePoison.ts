import { exhaustive } from '@bergamotcove/errors';
import expireState from './_lib/expireState.js';
import { hasPart } from './_lib/partCrashes.js';
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

/** Removes a request, or a part of prompts with the crashes that it explains, from all known crashes. */
const forgetCrashes = (state: PoisonState, fingerprint: string): PoisonState => ({
  ...state,
  crashes: state.crashes
    .filter((crash) => !hasPart(crash, fingerprint))
    .map((crash) => ({
      ...crash,
      fingerprints: without(crash.fingerprints, fingerprint),
      doubtful: without(crash.doubtful, fingerprint),
      answered: without(crash.answered, fingerprint),
    }))
    .filter(({ fingerprints, answered }) => fingerprints.size + answered.size > 0),
});

const release = (state: PoisonState, released: string): PoisonState => ({
  ...forgetCrashes(state, released),
  blocks: new Map([...state.blocks].filter(([fingerprint]) => fingerprint !== released)),
});

/**
 * Applies one event to the known crashes and blocked fingerprints of a host. A fingerprint is blocked when it is
 * suspected of causing a crash, see {@link noteCrash}. A request that ran in only one crash is never blocked.
 *
 * @param state - state before the event
 * @param event - the event
 * @param nowMs - monotonic time
 * @returns the new state and the newly blocked fingerprints
 * @example
 * const { state, blocked } = advancePoison(before, { type: 'crash', serverId: 's1', fingerprints: ['f'] }, nowMs);
 */
export default function advancePoison(state: PoisonState, event: PoisonEvent, nowMs: number): PoisonStep {
  const current = expireState(state, nowMs);
  switch (event.type) {
    case 'crash': {
      const { state: next, suspects } = noteCrash(current, event, nowMs);
      const fingerprints = suspects.map(({ fingerprint }) => fingerprint);
      return block(next, fingerprints, nowMs + POISON_BLOCK_MS);
    }
    case 'block':
      return block(current, [event.fingerprint], nowMs + Math.min(event.remainingMs, POISON_BLOCK_MS));
    case 'cleared':
      return { state: forgetCrashes(current, event.fingerprint), blocked: [] };
    case 'release':
      return { state: release(current, event.fingerprint), blocked: [] };
    default:
      return exhaustive(event);
  }
}
