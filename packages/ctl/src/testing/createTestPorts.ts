import { createManualClock } from '@bergamotcove/clock';
import type { CtlPorts } from '../types.js';
import createMemoryStore, { type MemoryStore } from './createMemoryStore.js';

/** Ports of a test with the files that commands read and the lines that they print. */
export interface TestPorts extends CtlPorts {
  readonly store: MemoryStore;
  readonly files: Map<string, unknown>;
  readonly out: string[];
  readonly err: string[];
}

/**
 * Creates ports over an in-memory store and a clock whose timers run at once and advance it by their delay.
 *
 * @param overrides - ports that the test replaces
 * @returns the ports
 */
export default function createTestPorts(overrides: Partial<CtlPorts> = {}): TestPorts {
  const store = createMemoryStore();
  const manual = createManualClock();
  const files = new Map<string, unknown>();
  const out: string[] = [];
  const err: string[] = [];
  let nextId = 1;
  let nowMs = 0;
  return {
    store,
    files,
    out,
    err,
    clock: {
      ...manual,
      monotonicMs: () => nowMs,
      schedule: (delayMs, run) => {
        const timer = setImmediate(() => {
          nowMs += delayMs;
          run();
        });
        return { close: () => clearImmediate(timer) };
      },
    },
    openStore: () => store,
    callHost: () => Promise.reject(new Error('the test has no hosts')),
    readJson: (file) => files.get(file),
    readText: (file) => String(files.get(file) ?? ''),
    newChangeId: () => {
      nextId += 1;
      return `change-${nextId - 1}`;
    },
    userName: () => 'ann',
    writeOut: (line) => out.push(line),
    writeErr: (line) => err.push(line),
    columns: 100,
    ...overrides,
  };
}
