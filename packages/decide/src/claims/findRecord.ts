import type { ClaimRecord } from '@bergamotcove/protocol';
import { findFinished } from './_lib/finishedClaims.js';
import type { ClaimRun, ShardState } from './types.js';

/** Searches the newest run first, because a key may be claimed again while an older run still has its expired claim. */
const findInRuns = (runs: readonly ClaimRun[], keyHash: string): ClaimRecord | undefined => {
  for (let index = runs.length - 1; index >= 0; index -= 1) {
    const run = runs[index];
    const found = run === undefined ? undefined : findFinished(run, keyHash);
    if (found !== undefined) {
      return found;
    }
  }
  return undefined;
};

/**
 * Finds the record of a key in the known part of a shard log.
 *
 * @param state - shard state
 * @param keyHash - hash of the key
 * @returns the record, or undefined when the key was never claimed
 */
export default function findRecord(state: ShardState, keyHash: string): ClaimRecord | undefined {
  return (
    state.recent.get(keyHash) ??
    state.base.get(keyHash) ??
    findInRuns(state.runs, keyHash) ??
    findInRuns(state.segments, keyHash)
  );
}
