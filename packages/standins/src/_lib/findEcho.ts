const ECHO_PATTERN = /\\*"echo\\*":\\*"([^"\\]*)/;

/**
 * Finds the caller's marker in an input: the first string field named `echo` at any depth. Answers carry it, so that
 * an answer that reached the wrong request is recognised.
 *
 * @param text - input as JSON text, possibly quoted again
 * @returns the marker, or an empty string
 * @example
 * findEcho('{"request": {"echo": "m1"}}'); // 'm1'
 */
export default function findEcho(text: string): string {
  return ECHO_PATTERN.exec(text)?.[1] ?? '';
}
