import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { ConnectionRefusal } from '@bergamotcove/transport';
import createRefusalReporter from './createRefusalReporter.js';

// Guards against a log that grows with the number of clients that are turned away.
test('connections that a limit closes are all counted, and logged once in an interval with their number', () => {
  const lines: unknown[] = [];
  const timers: (() => void)[] = [];
  let counted = 0;
  const parts = {
    clock: { schedule: (_: number, run: () => void) => timers.push(run) } as unknown as Clock,
    logger: { event: (_: string, fields: unknown) => lines.push(fields) } as unknown as Logger,
    metrics: {
      report: () => {
        counted += 1;
      },
    } as unknown as ScrapedMetrics,
  };
  const report = createRefusalReporter('callers', parts);
  const refuse = (): void => report({ reason: 'memory', carried: 'nothing' } as ConnectionRefusal);
  Array.from({ length: 100 }, refuse);
  timers.shift()?.();
  timers.shift()?.();
  assert.equal(timers.length, 0);
  refuse();
  assert.equal(counted, 101);
  assert.deepEqual(
    lines,
    [1, 99, 1].map((connections) => ({ listener: 'callers', limit: 'memory', connections })),
  );
});
