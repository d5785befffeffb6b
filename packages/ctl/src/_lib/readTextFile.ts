import { readFileSync } from 'node:fs';
import { toError } from '@bergamotcove/errors';
import CtlError from '../CtlError.js';

const STANDARD_INPUT = 0;

/**
 * Reads a text file.
 *
 * @param file - path, or `-` for standard input
 * @returns the text
 * @throws CtlError `usage` when the file cannot be read
 */
export default function readTextFile(file: string): string {
  try {
    return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8');
  } catch (cause) {
    throw new CtlError('usage', `argument FILE: ${toError(cause).message}`);
  }
}
