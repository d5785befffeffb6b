import CtlError from '../CtlError.js';

/**
 * Reads a version number given as an argument.
 *
 * @param text - the argument
 * @returns the version
 * @throws CtlError `usage` when it is not a whole number from 1
 * @example
 * readVersionArgument('12'); // 12
 */
export default function readVersionArgument(text: string): number {
  const version = Number(text);
  if (!Number.isSafeInteger(version) || version < 1) {
    throw new CtlError('usage', `argument VERSION: expected a whole number from 1, found "${text}"`);
  }
  return version;
}
