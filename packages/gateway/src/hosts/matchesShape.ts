/**
 * Shape of a message of another host: the type of a value, of the items of a list, or of the fields of an object. The
 * names of fields that may be missing end with a question mark.
 */
export type Shape = 'string' | 'number' | 'boolean' | readonly [Shape] | { readonly [field: string]: Shape };

const isOfType = (value: unknown, type: 'string' | 'number' | 'boolean'): boolean =>
  // JSON has no infinite numbers; they arrive as null.
  typeof value === type || (type === 'number' && value === null);

/**
 * Whether a message has the fields that are read from it. A host in trouble may answer with anything; further fields are
 * those of later versions.
 *
 * @param value - message
 * @param shape - fields that are read
 * @returns whether they can be read
 * @example
 * matchesShape({ type: 'later', inMs: 5 }, { type: 'string', inMs: 'number', 'notices?': ['string'] }); // true
 */
export default function matchesShape(value: unknown, shape: Shape): boolean {
  if (typeof shape === 'string') {
    return isOfType(value, shape);
  }
  if (Array.isArray(shape)) {
    const [itemShape] = shape as readonly [Shape];
    return Array.isArray(value) && value.every((item) => matchesShape(item, itemShape));
  }
  return (
    typeof value === 'object' &&
    value !== null &&
    Object.entries(shape).every(([name, fieldShape]) => {
      const field = name.replace(/\?$/, '');
      const found = (value as Readonly<Record<string, unknown>>)[field];
      return (found === undefined && field !== name) || matchesShape(found, fieldShape);
    })
  );
}
