const ECHO_PATTERN = /\\*"echo\\*":\\*"([^"\\]*)/;

/**
 * Finds the caller's marker in an input: the first string field named `echo` at any depth. Responses contain the
 * marker, so that a caller can detect a response that belongs to another request.
 *
 * @param text - input as JSON text, possibly escaped as a string inside other JSON
 * @returns the marker, or an empty string when there is none
 * @example
 * findEcho('{"request": {"echo": "m1"}}'); // 'm1'
 */
export default function findEcho(text: string): string {
  return ECHO_PATTERN.exec(text)?.[1] ?? '';
}
