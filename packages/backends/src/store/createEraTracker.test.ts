import assert from 'node:assert/strict';
import { test } from 'node:test';
import createEraTracker, { type EraEvent } from './createEraTracker.js';

const createWorld = () => {
  const eras = createEraTracker();
  const events: EraEvent[] = [];
  eras.onEvent((event) => events.push(event));
  return { eras, events };
};

test('a store that tells no era stays in the first one', () => {
  const { eras, events } = createWorld();
  assert.deepEqual([eras.read(undefined), eras.era, events], [0, 0, []]);
});

test('tells each later era once, and not the first that it hears', () => {
  const { eras, events } = createWorld();
  ['7', '7', '8', '8'].forEach((text) => eras.read(text));
  assert.deepEqual(events, [{ type: 'advanced', era: 8, before: 7 }]);
});

test('an answer of an earlier era says so', () => {
  const { eras } = createWorld();
  eras.read('8');
  assert.deepEqual([eras.read('7'), eras.era], [7, 8]);
});

test('headers that are missing, empty, no number or far too high count as the known era, with one line each', () => {
  const { eras, events } = createWorld();
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

test('hears of an era from another host', () => {
  const { eras, events } = createWorld();
  eras.read('8');
  eras.hear(9);
  eras.hear(4);
  assert.deepEqual([eras.era, events], [9, [{ type: 'advanced', era: 9, before: 8 }]]);
});
