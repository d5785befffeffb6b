import type { ClaimRecord } from '@bergamotcove/protocol';
import type { ShardState } from './types.js';

/**
 * Finds what the known part of a shard log says about a key.
 *
 * @param state - shard state
 * @param keyHash - hash of the key
 * @returns the record, or undefined when the key was never claimed
 */
export default function findRecord(state: ShardState, keyHash: string): ClaimRecord | undefined {
  return state.recent.get(keyHash) ?? state.base.get(keyHash);
}
