import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createSystemClock, type Clock } from '@bergamotcove/clock';
import { settingsSchema, type Settings } from '@bergamotcove/config';
import { startEntryHost } from '@bergamotcove/entry';
import { builtScript } from '../../deployment/paths.js';
import startProcess from '../../deployment/startProcess.js';

/** A running entry host: its ports and the faults that can be injected into its process. */
export interface HostProcess {
  readonly callersPort: number;
  readonly peersPort: number;
  /** Starts a planned stop; resolves when the host has stopped. */
  drain(): Promise<void>;
  crash(): void;
  /** Suspends the process until `resume`; only a separate process can be paused. */
  pause(): void;
  resume(): void;
  /** Steps the wall clock; only a host in this process can be stepped. */
  stepClock(deltaMs: number): void;
  close(): Promise<void>;
}

const unsupported = (operation: string) => (): never => {
  throw new Error(`this host cannot ${operation}`);
};

const createSteppedClock = (): { readonly clock: Clock; readonly step: (deltaMs: number) => void } => {
  const system = createSystemClock();
  let offsetMs = 0;
  return {
    clock: { ...system, wallMs: () => system.wallMs() + offsetMs },
    step: (deltaMs) => {
      offsetMs += deltaMs;
    },
  };
};

const startInProcess = async (settings: Settings): Promise<HostProcess> => {
  const { clock, step } = createSteppedClock();
  const host = await startEntryHost(settings, { clock });
  let ended: Promise<void> | undefined;
  const end = (stop: () => Promise<void>): Promise<void> => {
    ended ??= stop();
    return ended;
  };
  const crash = (): void => {
    end(() => {
      host.abort();
      return Promise.resolve();
    });
  };
  return {
    callersPort: host.callersPort,
    peersPort: host.peersPort,
    drain: () => end(host.drain),
    crash,
    pause: unsupported('pause'),
    resume: unsupported('resume'),
    stepClock: step,
    close: async () => {
      crash();
      await ended;
    },
  };
};

const startSeparate = async (settings: Settings): Promise<HostProcess> => {
  const directory = mkdtempSync(path.join(tmpdir(), 'bergamot-matrix-'));
  const file = path.join(directory, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const child = await startProcess(settings.host.id, [builtScript('entry', 'main.js'), '--settings', file]);
  rmSync(directory, { recursive: true });
  const waitForEnd = async (signal: NodeJS.Signals): Promise<void> => {
    child.signal(signal);
    await child.exited;
  };
  return {
    callersPort: Number(child.ready.callersPort),
    peersPort: Number(child.ready.peersPort),
    drain: () => waitForEnd('SIGTERM'),
    crash: () => child.signal('SIGKILL'),
    pause: () => child.signal('SIGSTOP'),
    resume: () => child.signal('SIGCONT'),
    stepClock: unsupported('step its clock'),
    close: () => waitForEnd('SIGKILL'),
  };
};

/**
 * Starts an entry host.
 *
 * @param settings - settings in the shape of a settings file
 * @param options - `separate` runs the host as a child process, which can be paused; otherwise it runs in this process
 *   and its wall clock can be stepped
 * @returns the host
 */
export default function startHost(settings: object, options: { readonly separate: boolean }): Promise<HostProcess> {
  const parsed = settingsSchema.parse(settings);
  return options.separate ? startSeparate(parsed) : startInProcess(parsed);
}
