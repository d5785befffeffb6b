import { readFileSync } from 'node:fs';
import ConfigError from './ConfigError.js';
import parseWith from './parseWith.js';
import { settingsSchema } from './settingsSchema.js';
import type { Settings } from './types.js';

/**
 * Reads a JSON file.
 *
 * @param file - path of the file
 * @returns the parsed value
 * @throws ConfigError when the file cannot be read or is not JSON
 */
export function readJsonFile(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new ConfigError('unreadable', `${file}: expected a readable file`, { cause });
  }
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new ConfigError('unreadable', `${file}: expected JSON`, { cause });
  }
}

/**
 * Reads and checks the settings file of an entry host.
 *
 * @param file - path of the file
 * @returns the settings with defaults filled in
 * @throws ConfigError when the file cannot be read or has wrong fields
 */
export default function readSettings(file: string): Settings {
  return parseWith(settingsSchema, readJsonFile(file), { source: file });
}
