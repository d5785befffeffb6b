import assert from 'node:assert/strict';
import { test } from 'node:test';
import chooseSource, { MAX_DIRECT_HOSTS, RELAY_TIMEOUT_MS, type SourceView } from './chooseSource.js';

const NOW_MS = 100_000;

const choose = (changes: Partial<SourceView>, nowMs = NOW_MS) =>
  chooseSource(
    {
      hosts: 30,
      rank: 10,
      relayAtMs: NOW_MS - 500,
      heardAtMs: NOW_MS - 500,
      searchingSinceMs: NOW_MS,
      storeAnswers: false,
      failures: 0,
      failedAtMs: -Infinity,
      ...changes,
    },
    nowMs,
  );

const LOST = { relayAtMs: NOW_MS - RELAY_TIMEOUT_MS - 1, heardAtMs: NOW_MS - RELAY_TIMEOUT_MS - 1 };

test('the first two hosts of a failure domain follow the store, and the others listen to them', () => {
  assert.deepEqual(
    [0, 1, 2, 29].map((rank) => choose({ rank }).type),
    ['store', 'store', 'relay', 'relay'],
  );
});

test('every host of a small failure domain follows the store', () => {
  assert.equal(choose({ hosts: MAX_DIRECT_HOSTS, rank: 3, ...LOST }).type, 'store');
  assert.equal(choose({ hosts: MAX_DIRECT_HOSTS, rank: 3 }).type, 'store');
});

test('a relay that cannot reach the store listens to the other one, and retries after the back-off', () => {
  const failed = { rank: 0, failures: 1, failedAtMs: NOW_MS - 100 };
  assert.equal(choose(failed).type, 'relay');
  assert.equal(choose({ ...failed, failedAtMs: NOW_MS - 1_100 }).type, 'store');
  assert.equal(choose({ ...failed, ...LOST }).type, 'store');
});

test('hosts that lose their relays try the store in order of rank, the last one within 1.3 s', () => {
  const searching = { ...LOST, searchingSinceMs: NOW_MS };
  const delays = [2, 3, 10, 29].map((rank) => {
    const source = choose({ ...searching, rank });
    return source.type === 'none' ? source.retryAtMs - NOW_MS : 0;
  });
  assert.equal(delays[0], 0);
  assert.deepEqual(
    delays,
    [...delays].sort((a, b) => a - b),
  );
  // The loss of a relay is noticed after 2.2 s, and a change must be in force everywhere 4 s after it was accepted.
  assert.ok(Math.max(...delays) <= 4_000 - 2_200 - 500, `${Math.max(...delays)} ms`);
});

test('a host that reaches the store follows it until it hears a relay', () => {
  assert.equal(choose({ ...LOST, storeAnswers: true }).type, 'store');
  assert.equal(choose({ storeAnswers: true }).type, 'relay');
});

test('in a store outage, hosts that hear relays retry rarely, and hosts that hear none retry more often', () => {
  const failed = { ...LOST, failures: 6, failedAtMs: NOW_MS };
  const readWaitMs = (changes: Partial<SourceView>): number => {
    const source = choose({ ...failed, ...changes });
    return source.type === 'none' ? source.retryAtMs - NOW_MS : 0;
  };
  assert.ok(readWaitMs({ heardAtMs: NOW_MS }) >= 5_000);
  assert.ok(readWaitMs({}) <= 1_500);
});
