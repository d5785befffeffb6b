import type { ClaimRecord } from '@bergamotcove/protocol';
import { findSealed, shortKey } from './_lib/finishedClaims.js';
import type { ShardState } from './types.js';

const findInSegments = (state: ShardState, keyHash: string): ClaimRecord | undefined => {
  for (let index = state.segments.length - 1; index >= 0; index -= 1) {
    const segment = state.segments[index];
    const found = segment === undefined ? undefined : findSealed(segment, keyHash);
    if (found !== undefined) {
      return found;
    }
  }
  return undefined;
};

/**
 * Finds what the known part of a shard log says about a key.
 *
 * @param state - shard state
 * @param keyHash - hash of the key
 * @returns the record, or undefined when the key was never claimed
 */
export default function findRecord(state: ShardState, keyHash: string): ClaimRecord | undefined {
  return (
    state.recent.get(keyHash) ??
    state.base.get(keyHash) ??
    state.base.get(shortKey(keyHash)) ??
    findInSegments(state, keyHash)
  );
}
