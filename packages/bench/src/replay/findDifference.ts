const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const haveSameShape = (expected: unknown, actual: unknown): boolean => {
  if (Array.isArray(expected)) {
    return Array.isArray(actual) && actual.length === expected.length;
  }
  return isRecord(expected) ? isRecord(actual) : expected === actual || (expected === null && actual === undefined);
};

/**
 * Compares a value with the expected value of a trace. Lists must have equal length; objects may have more fields than
 * expected. An expected null matches an absent field.
 *
 * @param expected - expected value in the trace
 * @param actual - value from the reducer
 * @param path - path of the value, for the message
 * @returns a description of the first difference, or undefined when there is none
 * @example
 * findDifference({ type: 'finish' }, { type: 'finish', result }, 'action 0'); // undefined
 */
export default function findDifference(expected: unknown, actual: unknown, path: string): string | undefined {
  if (!haveSameShape(expected, actual)) {
    return `${path}: expected ${JSON.stringify(expected)}, got ${JSON.stringify(actual)}`;
  }
  const fields = typeof expected === 'object' && expected !== null ? Object.entries(expected) : [];
  return fields
    .map(([key, value]) => findDifference(value, Reflect.get(actual as object, key), `${path}.${key}`))
    .find((difference) => difference !== undefined);
}
