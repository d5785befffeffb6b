import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/**
 * Hashes a server id to the 32 bits that identify the server in load summaries.
 *
 * @param serverId - id of the server
 * @returns the hash
 * @example
 * hashServerId('engine-7') === hashServerId('engine-7');
 */
export default function hashServerId(serverId: string): number {
  return h32(serverId);
}
