import assert from 'node:assert/strict';
import { test } from 'node:test';
import runPartModel from './runPartModel.js';
import type { ModelCrashingPart, ModelOutage, PartModelResult } from './types.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const FAULT_MS = 3_000;

const run = (
  seed: number,
  faults: { readonly outages?: readonly ModelOutage[]; readonly crashingParts?: readonly ModelCrashingPart[] },
): PartModelResult =>
  runPartModel({
    seed,
    servers: 100,
    promptsPerSecond: 2.5,
    lengthMs: 12_000,
    outages: [],
    crashingParts: [],
    ...faults,
  });

test('an outage of many servers, once or in series, blocks no part', () => {
  const outages = [0, 1, 2].map((nth) => ({ atMs: FAULT_MS + nth * 1_500, share: 0.3, spreadMs: 0 }));
  SEEDS.forEach((seed) => {
    assert.deepEqual(run(seed, { outages: outages.slice(0, 1) }).falselyBlocked, []);
    assert.deepEqual(run(seed, { outages }).falselyBlocked, []);
  });
});

(['first', 'additional'] as const).forEach((place) =>
  test(`a crashing part is blocked within 4 s of its first crash (${place})`, () => {
    const crashingParts = [{ place, share: 0.02, fromMs: FAULT_MS }];
    SEEDS.forEach((seed) => {
      const { foundAfterMs, falselyBlocked } = run(seed, { crashingParts });
      assert.ok((foundAfterMs[0] ?? Infinity) < 4_000, `seed ${seed}: ${foundAfterMs[0]} ms`);
      assert.deepEqual(falselyBlocked, []);
    });
  }),
);
