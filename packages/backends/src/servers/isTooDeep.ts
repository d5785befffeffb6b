/** Levels of an output; serializing a value of several thousand levels exceeds the stack. */
const MAX_LEVELS = 500;

/**
 * Whether a parsed JSON value is nested too deeply to be passed on.
 *
 * @param value - parsed JSON
 * @param levels - levels that it may have
 * @returns whether it has more
 */
export default function isTooDeep(value: unknown, levels = MAX_LEVELS): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  return levels === 0 || Object.values(value).some((item) => isTooDeep(item, levels - 1));
}
