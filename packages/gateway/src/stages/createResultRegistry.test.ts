import assert from 'node:assert/strict';
import { test } from 'node:test';
import createResultRegistry from './createResultRegistry.js';

const STORED = { serverId: 's1', resultBytes: 10, expiresAtMs: 1_000 };

test('returns each result once', () => {
  const registry = createResultRegistry();
  registry.add('a', STORED, 0);
  assert.deepEqual(registry.take('a'), STORED);
  assert.equal(registry.take('a'), undefined);
});

test('returns the evictable results of one server only', () => {
  const registry = createResultRegistry();
  registry.add('a', STORED, 0);
  registry.add('b', STORED, 0);
  registry.add('c', { ...STORED, serverId: 's2' }, 0);
  assert.deepEqual(registry.markEvictable('a'), STORED);
  assert.equal(registry.markEvictable('a'), undefined);
  registry.markEvictable('c');
  assert.deepEqual([...registry.takeEvictable('s1').keys()], ['a']);
  assert.equal(registry.take('a'), undefined);
  assert.deepEqual(registry.take('b'), STORED);
});

test('taking a result clears its evictable mark', () => {
  const registry = createResultRegistry();
  registry.add('a', STORED, 0);
  registry.markEvictable('a');
  registry.take('a');
  registry.add('a', STORED, 0);
  assert.equal(registry.takeEvictable('s1').size, 0);
});

test('removes results that have expired at their servers', () => {
  const registry = createResultRegistry();
  registry.add('a', STORED, 0);
  registry.markEvictable('a');
  registry.add('b', { ...STORED, expiresAtMs: 2_000 }, 1_000);
  assert.equal(registry.take('a'), undefined);
  assert.equal(registry.takeEvictable('s1').size, 0);
  assert.notEqual(registry.take('b'), undefined);
});
