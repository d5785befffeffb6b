import assert from 'node:assert/strict';
import { test } from 'node:test';
import chooseServedPool from './chooseServedPool.js';
import findUnservedMs from './findUnservedMs.js';
import type { ForwardRequest } from './types.js';

const REQUEST = {
  route: {
    pools: [
      { pool: 'p', weight: 1 },
      { pool: 'near', weight: 1 },
    ],
    stages: [{ pool: 'stage' }, { pool: 'gone' }],
  },
  facts: { pieceCounts: [1, 0] },
} as unknown as ForwardRequest;

const REGIONS: Readonly<Record<string, readonly string[]>> = { p: ['r1', 'r2'], near: ['r1'], stage: ['r2'] };

const createPorts = (regions: readonly string[] | undefined, evacuated?: string) => ({
  directory: {
    list: (pool: string) => (REGIONS[pool] ?? []).map((region) => ({ region })) as never,
    isEvacuated: (pool: string) => pool === evacuated,
    readBackoffRemainingMs: (pool: string) => (pool === evacuated ? 1_000 : undefined),
  },
  residency: { findRegions: () => regions },
});

const check = (regions: readonly string[] | undefined, evacuated?: string, isWithin = true) =>
  findUnservedMs(REQUEST, { pool: 'p', reservation: { isWithin: () => isWithin } }, createPorts(regions, evacuated));

test('a request is refused at once when a pool that it needs has no server in its regions', () => {
  assert.equal(check(undefined), undefined);
  assert.equal(check(['r2']), undefined);
  assert.equal(check(['r1']), 300, 'the stage has no server there');
  assert.equal(check([]), 300);
  assert.equal(check(['r2'], 'stage'), 1_000);
  assert.equal(check(['r2'], undefined, false), 300, 'it was assigned to another region');
});

test('the pool of a restricted request is one with servers in its regions, if there is any', () => {
  const choose = (regions: readonly string[] | undefined) =>
    chooseServedPool(REQUEST, { ...createPorts(regions), random: () => 0.9 });
  assert.deepEqual([choose(undefined), choose(['r1']), choose(['r2']), choose(['r9'])], ['near', 'near', 'p', 'near']);
});
