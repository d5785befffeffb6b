import { readFile } from 'node:fs/promises';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import parseGatewaySettings, { type GatewaySettings } from './settings.js';

/** Applies changes of the settings file. */
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
  /** Text of the file from which the current settings were parsed. */
  readonly text: string;
  /** Applies changed settings; returns the names of those that take effect only after a restart. */
  readonly apply: (settings: GatewaySettings) => readonly string[];
}

/** Interval at which the file is read, in case it has changed without a signal. */
const CHECK_MS = 5_000;

class Follower implements SettingsFollower {
  private text: string;

  private timer: Timer | undefined;

  /** Settles with the latest read; each read waits for the one before. */
  private lastRead: Promise<void> = Promise.resolve();

  constructor(private readonly options: SettingsFollowerOptions) {
    this.text = options.text;
    this.schedule();
  }

  refresh(): Promise<void> {
    this.lastRead = this.lastRead.then(() => this.read());
    return this.lastRead;
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
 * Applies the settings file whenever its text changes. Invalid settings leave the previous ones in force.
 *
 * @param options - file, and receiver of changed settings
 * @returns the follower; close it to stop
 */
export default function followSettings(options: SettingsFollowerOptions): SettingsFollower {
  return new Follower(options);
}
