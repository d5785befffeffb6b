/**
 * Marks the default branch of a switch over all variants of a type; the compiler rejects the call when a variant is not
 * handled.
 *
 * @param value - the variant that was not handled
 * @throws Error when reached at run time
 */
export default function exhaustive(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
