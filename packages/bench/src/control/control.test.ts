import assert from 'node:assert/strict';
import { test } from 'node:test';
import fitLine from './_lib/fitLine.js';
import measureRestart from './measureRestart.js';
import runSchedule from './runSchedule.js';

const SEEDS = 60;
const STORE_READS_PER_SECOND = 2_000;

test('no version is reverted and every host catches up, over seeded races, outages, lost replies, pauses and cuts', async () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const result = await runSchedule(seed);
    assert.equal(result.reverted, 0, `seed ${seed}: ${result.steps.join(', ')}`);
    assert.deepEqual(result.behind, [], `seed ${seed}: ${result.steps.join(', ')}`);
  }
});

test('a restart of all hosts at one instant stays within the rates of the store', async () => {
  const { figures } = await measureRestart({ seed: 1, quick: true });
  const peak = figures.find(({ name }) => name.includes('most store calls'));
  assert.ok((peak?.value ?? Infinity) < STORE_READS_PER_SECOND);
});

test('a fitted line gives exact points back, so that predictions can be trusted', () => {
  const line = fitLine([1, 2, 3, 4].map((x) => ({ x, y: 3 * x + 1 })));
  assert.ok(Math.abs(line.predict(10).value - 31) < 1e-9);
  assert.ok(line.predict(10).error < 1e-9);
});
