/**
 * Marks the default branch of a switch that handles every variant; the compiler rejects a missing one.
 *
 * @param value - the variant that was not handled
 * @throws Error when reached at run time
 */
export default function exhaustive(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
