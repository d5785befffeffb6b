import listConnectionOptions from './listConnectionOptions.js';

/** Hop-by-hop headers, which are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Selects the headers to forward: removes hop-by-hop headers, those that the Connection header names, and the withheld
 * ones. Order and spelling are kept.
 *
 * @param rawHeaders - alternating names and values
 * @param withheld - further names to remove, in lower case
 * @returns alternating names and values
 * @example
 * filterHeaders(['Connection', 'x-a', 'X-A', '1', 'X-B', '2'], new Set()); // ['X-B', '2']
 */
export default function filterHeaders(rawHeaders: readonly string[], withheld: ReadonlySet<string>): readonly string[] {
  const connectionOptions = listConnectionOptions(rawHeaders);
  const passed: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(lower) && !connectionOptions.has(lower) && !withheld.has(lower)) {
      passed.push(name, rawHeaders[index + 1] as string);
    }
  }
  return passed;
}
