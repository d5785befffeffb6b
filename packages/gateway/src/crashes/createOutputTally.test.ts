import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import listBrokenAnswers from '../testing/listBrokenAnswers.js';
import createOutputTally, { type OutputTallyOptions } from './createOutputTally.js';

const QUERY = { pool: 'p', parts: ['a'], crashesAtMs: [0] };
const SELF = { hostId: 'self', target: { address: '10.0.0.1', port: 1 } };
const OTHER = { hostId: 'other', target: { address: '10.0.0.2', port: 1 } };

/** Collects the output that this host has seen once, 10 ms after the start, and that another host answers. */
const collect = async (answer: unknown) => {
  const clock = createManualClock();
  clock.advance(100);
  const tally = createOutputTally({
    clock,
    links: { call: () => Promise.resolve(answer) },
    summarise: () => ({ lastOutputsAtMs: [10], outputCounts: [1] }),
  } as unknown as OutputTallyOptions);
  tally.start({ self: SELF, list: () => [SELF, OTHER] } as unknown as HostRegistry);
  const evidence = await tally.collect(QUERY);
  return { lastMs: evidence.lastOutputAtMs('a'), count: evidence.countOutputs(-Infinity, Infinity) };
};

listBrokenAnswers().forEach(({ name, answer }) =>
  test(`a host that answers with ${name} counts as having seen no output`, async () => {
    assert.deepEqual(await collect(answer), { lastMs: 10, count: 1 });
  }),
);

test('the output that another host has seen is added', async () => {
  assert.deepEqual(await collect({ lastOutputAgesMs: [40], outputCounts: [2] }), { lastMs: 60, count: 3 });
  assert.deepEqual(await collect({ lastOutputAgesMs: [null], outputCounts: [0] }), { lastMs: 10, count: 1 });
});
