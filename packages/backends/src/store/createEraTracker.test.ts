import assert from 'node:assert/strict';
import { test } from 'node:test';
import createEraTracker, { type EraEvent } from './createEraTracker.js';

const createFixture = () => {
  const eras = createEraTracker();
  const events: EraEvent[] = [];
  eras.onEvent((event) => events.push(event));
  return { eras, events };
};

test('a store that reports no era stays in era 0', () => {
  const { eras, events } = createFixture();
  assert.deepEqual([eras.read(undefined), eras.era, events], [0, 0, []]);
});

test('emits one event for each later era, and none for the first known era', () => {
  const { eras, events } = createFixture();
  ['7', '7', '8', '8'].forEach((text) => eras.read(text));
  assert.deepEqual(events, [{ type: 'advanced', era: 8, before: 7 }]);
});

test('read returns the era of an answer that is older than the known era', () => {
  const { eras } = createFixture();
  eras.read('8');
  assert.deepEqual([eras.read('7'), eras.era], [7, 8]);
});

test('headers that are missing, empty, not a number or far too high count as the known era, with one event for each problem', () => {
  const { eras, events } = createFixture();
  eras.read('8');
  const read = [undefined, undefined, '', 'x', '-1', '1.5', '9e99', '99999999999999999999', '5000'].map((text) =>
    eras.read(text),
  );
  assert.deepEqual(new Set(read), new Set([8]));
  assert.deepEqual(
    events.map((event) => (event.type === 'ignored' ? event.problem : event.type)),
    ['missing', 'invalid', 'too-high'],
  );
  assert.equal(eras.read('9'), 9);
});

test('an era that another host reports advances the known era, unless it is an earlier one', () => {
  const { eras, events } = createFixture();
  eras.read('8');
  eras.observe(9);
  eras.observe(4);
  assert.deepEqual([eras.era, events], [9, [{ type: 'advanced', era: 9, before: 8 }]]);
});
