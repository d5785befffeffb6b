import { createHash } from 'node:crypto';
import type { GenerationFacts } from '../ports.js';

const KEY_PREFIX = 'part-';
/** Ids of up to this many hexadecimal digits stand in the key as they are. */
const PLAIN_ID = /^[0-9a-f]{1,40}$/;
const HASH_CHARS = 40;

const formatPartKey = (partId: string): string => {
  const id = partId.toLowerCase();
  return `${KEY_PREFIX}${PLAIN_ID.test(id) ? id : createHash('sha256').update(id).digest('hex').slice(0, HASH_CHARS)}`;
};

/** Whether the key of a block is that of a part of prompts, and not the fingerprint of a request. */
export const isPartKey = (key: string): boolean => key.startsWith(KEY_PREFIX);

/**
 * Lists the keys of the parts of a prompt that other requests may share: all but the last one. The key of a part is the
 * same on every host, and never equals the fingerprint of a request.
 *
 * @param generation - properties of the generation; undefined for other requests
 * @returns distinct keys, `part-` and up to 40 hexadecimal digits, in the order of the prompt
 */
export default function listPartKeys(generation: GenerationFacts | undefined): readonly string[] {
  return [...new Set((generation?.parts ?? []).slice(0, -1).map(({ partId }) => formatPartKey(partId)))];
}
