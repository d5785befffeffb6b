/**
 * Lists the fields that the Connection header of a message names; they concern only this connection.
 *
 * @param rawHeaders - alternating names and values
 * @returns names in lower case
 * @example
 * listConnectionOptions(['Connection', 'close, X-Hop']); // Set { 'close', 'x-hop' }
 */
export default function listConnectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
  const options = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      (rawHeaders[index + 1] ?? '').split(',').forEach((name) => options.add(name.trim().toLowerCase()));
    }
  }
  return options;
}
