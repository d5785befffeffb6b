import assert from 'node:assert/strict';
import { test } from 'node:test';
import coalesceRuns from './coalesceRuns.js';

test('calls during a run share the next one, and keys run side by side', async () => {
  const started: string[] = [];
  const ends: (() => void)[] = [];
  const call = coalesceRuns((key) => {
    started.push(key);
    return new Promise((resolve) => {
      ends.push(resolve);
    });
  });
  const first = call('a');
  const later = [call('a'), call('a')];
  const other = call('b');
  assert.deepEqual(started, ['a', 'b']);
  ends[0]?.();
  await first;
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  assert.deepEqual(started, ['a', 'b', 'a']);
  ends.forEach((end) => end());
  await Promise.all([...later, other]);
  assert.deepEqual(started, ['a', 'b', 'a']);
});
