import { readFile } from 'node:fs/promises';
import type { Logger } from '@bergamotcove/log';
import { retryStart } from '@bergamotcove/transport';
import parseGatewaySettings, { type GatewaySettings } from './settings.js';

/** Settings of a host and the text from which they were parsed. */
export interface SettingsText {
  readonly settings: GatewaySettings;
  readonly text: string;
}

/**
 * Reads the settings at the start of a host. A file that is missing or only partly written is read again for a bounded
 * time.
 *
 * @param file - path of the file
 * @param logger - gets one line when the file cannot be used yet
 * @returns the settings
 * @throws the error of the last read
 */
export default function readSettings(file: string, logger: Logger): Promise<SettingsText> {
  const read = async (): Promise<SettingsText> => {
    const text = await readFile(file, 'utf8');
    return { text, settings: parseGatewaySettings(JSON.parse(text)) };
  };
  return retryStart(read, { onWait: (error) => logger.event('settingsAwaited', { file, error: error.message }) });
}
