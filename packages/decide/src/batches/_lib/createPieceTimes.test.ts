import assert from 'node:assert/strict';
import { test } from 'node:test';
import createPieceTimes from './createPieceTimes.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 8,
  callMs: 200,
  pieceMs: 24,
  resultMemoryBytes: 1e6,
  keepResultMs: 1_000,
};

test('learns the time of each kind from calls with several kinds', () => {
  const times = createPieceTimes(SPEC);
  const mixes = [
    ['a', 'a', 'b'],
    ['a', 'b', 'b'],
    ['a', 'b'],
  ];
  for (let round = 0; round < 100; round += 1) {
    mixes.forEach((kinds) =>
      times.learn(
        kinds,
        kinds.reduce((sum, kind) => sum + (kind === 'a' ? 40 : 10), 0),
      ),
    );
  }
  assert.ok(Math.abs(times.read('a') - 40) < 1);
  assert.ok(Math.abs(times.read('b') - 10) < 1);
  assert.equal(times.read('unseen'), 24);
});

test('keeps the times within bounds after calls of extreme or zero duration', () => {
  const times = createPieceTimes(SPEC);
  times.learn(['a'], 1e9);
  times.learn(['b'], 0);
  for (let round = 0; round < 50; round += 1) {
    times.learn(['b'], 0);
  }
  assert.equal(times.read('a'), 96);
  assert.ok(times.read('b') >= 1.2);
});
