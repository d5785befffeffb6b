import listConnectionOptions from './listConnectionOptions.js';

/** Fields that describe the content or the target of any message. */
const END_TO_END_FIELDS: ReadonlySet<string> = new Set(['content-encoding', 'content-length', 'content-type', 'host']);

/**
 * Whether the Connection header of a message names a field on which its meaning depends. Forwarding removes the named
 * fields, so the next recipient would get another message than the one that was judged here.
 *
 * @param rawHeaders - alternating names and values
 * @param fields - further fields on which the message depends, in lower case
 * @returns whether the message must not be forwarded
 * @example
 * dropsEndToEndField(['Connection', 'X-Id', 'X-Id', '1'], new Set(['x-id'])); // true
 */
export default function dropsEndToEndField(rawHeaders: readonly string[], fields: ReadonlySet<string>): boolean {
  return [...listConnectionOptions(rawHeaders)].some((name) => END_TO_END_FIELDS.has(name) || fields.has(name));
}
