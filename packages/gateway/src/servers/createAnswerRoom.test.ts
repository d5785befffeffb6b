import assert from 'node:assert/strict';
import { test } from 'node:test';
import createAnswerRoom from './createAnswerRoom.js';

const MIB = 1_048_576;

test('large answers share the room, and small ones find some when it is full', () => {
  const room = createAnswerRoom();
  const large = Array.from({ length: 9 }, () => room.open());
  assert.deepEqual(
    large.map((share) => share.take(4 * MIB)),
    [true, true, true, true, true, true, true, true, false],
  );
  assert.equal(room.open().take(1_000), true);
});

test('what an answer has taken is free again when it was read', () => {
  const room = createAnswerRoom();
  const first = room.open();
  first.take(32 * MIB);
  assert.equal(room.open().take(MIB), false);
  first.close();
  first.close();
  const next = room.open();
  assert.deepEqual([next.take(MIB), next.sizeBytes], [true, MIB]);
});
