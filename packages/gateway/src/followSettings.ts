import { readFile } from 'node:fs/promises';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import parseGatewaySettings, { type GatewaySettings } from './settings.js';

/** Follows the settings file. */
export interface SettingsFollower {
  /** Reads the file again now. */
  refresh(): Promise<void>;
  close(): void;
}

/** Options of {@link followSettings}. */
export interface SettingsFollowerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly file: string;
  /** Text that the current settings were read from. */
  readonly text: string;
  /** Takes changed settings; returns the names of those that hold only after a restart. */
  readonly apply: (settings: GatewaySettings) => readonly string[];
}

/** Interval at which the file is read in case that it changed without a signal. */
const CHECK_MS = 5_000;

class Follower implements SettingsFollower {
  private text: string;

  private timer: Timer | undefined;

  /** Ends with the last reading that was begun; each one waits for the one before. */
  private reading: Promise<void> = Promise.resolve();

  constructor(private readonly options: SettingsFollowerOptions) {
    this.text = options.text;
    this.schedule();
  }

  refresh(): Promise<void> {
    this.reading = this.reading.then(() => this.read());
    return this.reading;
  }

  close(): void {
    this.timer?.close();
  }

  private async read(): Promise<void> {
    const { file, logger, apply } = this.options;
    try {
      const text = await readFile(file, 'utf8');
      if (text === this.text) {
        return;
      }
      const needRestart = apply(parseGatewaySettings(JSON.parse(text)));
      this.text = text;
      logger.event('settingsApplied', { needRestart });
    } catch (cause) {
      logger.event('settingsUnreadable', { error: toError(cause).message });
    }
  }

  private schedule(): void {
    this.timer = this.options.clock.schedule(CHECK_MS, () => {
      this.refresh().finally(() => this.schedule());
    });
  }
}

/**
 * Follows the settings file by its text. Wrong settings leave the old ones in force.
 *
 * @param options - file and receiver
 * @returns the follower; close it to stop
 */
export default function followSettings(options: SettingsFollowerOptions): SettingsFollower {
  return new Follower(options);
}
