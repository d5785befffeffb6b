import type { DocumentVersion } from '@bergamotcove/protocol';
import xxhash from 'xxhash-wasm';

const { h64ToString } = await xxhash();

/**
 * Hashes the versions of all service documents. Hosts with the same documents have the same digest.
 *
 * @param versions - versions in any order
 * @returns the digest, 16 hexadecimal digits
 * @example
 * hashVersions([{ service: 'clerk', version: 3, hash: '5a…' }]);
 */
export default function hashVersions(versions: readonly DocumentVersion[]): string {
  const lines = versions.map(({ service, version, hash }) => `${service}\0${version}\0${hash}`);
  return h64ToString(lines.sort().join('\n'));
}
