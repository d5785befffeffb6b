const MAX_SHOWN_LENGTH = 60;
const SECRET_FIELD = /secret/i;

const readAtPath = (value: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (current, key) => (typeof current === 'object' && current !== null ? Reflect.get(current, key) : undefined),
    value,
  );

const shorten = (text: string): string =>
  text.length > MAX_SHOWN_LENGTH ? `${text.slice(0, MAX_SHOWN_LENGTH)}…` : text;

/**
 * Describes the value at a path for an error message. Objects are described by type only, lists and secrets by length,
 * because messages reach terminals and logs.
 *
 * @param value - the whole value
 * @param path - path within it
 * @returns a short description
 * @example
 * describeFound({ port: 'x' }, ['port']); // '"x"'
 */
export default function describeFound(value: unknown, path: readonly PropertyKey[]): string {
  const found = readAtPath(value, path);
  if (found === undefined) {
    return 'nothing';
  }
  if (Array.isArray(found)) {
    return `a list of ${found.length}`;
  }
  if (typeof found === 'object' && found !== null) {
    return 'an object';
  }
  if (typeof found === 'string' && path.some((key) => SECRET_FIELD.test(String(key)))) {
    return `a secret of ${found.length} characters`;
  }
  return shorten(JSON.stringify(found) ?? String(found));
}
