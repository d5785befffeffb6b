const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const haveSameShape = (stated: unknown, actual: unknown): boolean => {
  if (Array.isArray(stated)) {
    return Array.isArray(actual) && actual.length === stated.length;
  }
  return isRecord(stated) ? isRecord(actual) : stated === actual || (stated === null && actual === undefined);
};

/**
 * Compares a value with what a trace states. Lists must have equal length; objects may have more fields than stated.
 * A stated null means that the field is absent.
 *
 * @param stated - value in the trace
 * @param actual - value from the reducer
 * @param path - name of the value in messages
 * @returns the first difference, or undefined
 * @example
 * findDifference({ type: 'finish' }, { type: 'finish', result }, 'action 0'); // undefined
 */
export default function findDifference(stated: unknown, actual: unknown, path: string): string | undefined {
  if (!haveSameShape(stated, actual)) {
    return `${path}: stated ${JSON.stringify(stated)}, got ${JSON.stringify(actual)}`;
  }
  const fields = typeof stated === 'object' && stated !== null ? Object.entries(stated) : [];
  return fields
    .map(([key, value]) => findDifference(value, Reflect.get(actual as object, key), `${path}.${key}`))
    .find((difference) => difference !== undefined);
}
