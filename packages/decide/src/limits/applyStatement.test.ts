import assert from 'node:assert/strict';
import { test } from 'node:test';
import applyStatement, { isExpired } from './applyStatement.js';
import { MAX_TRACKED_RATE, STATEMENT_LIFETIME_MS } from './constants.js';
import type { StatedLimit } from './types.js';

const KNOWN: StatedLimit = { requestsPerSecond: 2, startedAtMs: 7, sinceMs: 100, statedAtMs: 500 };
const END = { requestsPerSecond: undefined, startedAtMs: 7 };

test('a limit keeps the time of its first statement while its rate changes', () => {
  const changed = applyStatement(KNOWN, { requestsPerSecond: 0, startedAtMs: 7, atMs: 600 }, 600);
  assert.deepEqual(changed, { requestsPerSecond: 0, startedAtMs: 7, sinceMs: 100, statedAtMs: 600 });
});

test('only the answer to a request that was sent after the latest statement ends a limit', () => {
  assert.equal(applyStatement(KNOWN, { ...END, atMs: 500 }, 900), KNOWN);
  assert.equal(applyStatement(KNOWN, { ...END, atMs: 501 }, 900), undefined);
});

test('a statement that arrives after a later one changes nothing', () => {
  assert.equal(applyStatement(KNOWN, { requestsPerSecond: 9, startedAtMs: 7, atMs: 499 }, 600), KNOWN);
});

test('a limit belongs to one process of a server', () => {
  const restarted = applyStatement(KNOWN, { requestsPerSecond: 1, startedAtMs: 8, atMs: 600 }, 600);
  assert.deepEqual(restarted, { requestsPerSecond: 1, startedAtMs: 8, sinceMs: 600, statedAtMs: 600 });
  assert.equal(applyStatement(KNOWN, { ...END, startedAtMs: 8, atMs: 100 }, 600), undefined);
  assert.equal(applyStatement(KNOWN, { requestsPerSecond: 9, startedAtMs: 6, atMs: 510 }, 600), KNOWN);
});

test('a limit that is far above what a server is sent is not tracked', () => {
  const statement = { startedAtMs: 7, atMs: 510 };
  assert.equal(applyStatement(undefined, { ...statement, requestsPerSecond: MAX_TRACKED_RATE }, 600), undefined);
  assert.equal(applyStatement(KNOWN, { ...statement, requestsPerSecond: 1e300 }, 600), undefined);
});

test('a limit that is not stated again expires', () => {
  const endMs = KNOWN.statedAtMs + STATEMENT_LIFETIME_MS;
  assert.deepEqual([isExpired(KNOWN, endMs - 1), isExpired(KNOWN, endMs)], [false, true]);
});
