import xxhash from 'xxhash-wasm';
import { SHARD_COUNT } from './constants.js';

const { h32 } = await xxhash();

/**
 * Maps a key hash to its shard.
 *
 * @param keyHash - hash of organisation, service and key
 * @returns the shard number
 */
export default function shardOfKey(keyHash: string): number {
  return h32(keyHash) % SHARD_COUNT;
}
