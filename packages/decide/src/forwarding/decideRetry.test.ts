import assert from 'node:assert/strict';
import { test } from 'node:test';
import decideRetry, { type RetryFacts } from './decideRetry.js';

const FACTS: RetryFacts = {
  end: { type: 'unknown' },
  repeatable: true,
  runs: 1,
  sends: 1,
  maxAttempts: 2,
  remainingMs: 500,
  usualMs: 20,
};

test('a request that must not run twice is not sent again when it may have run', () => {
  assert.equal(decideRetry({ ...FACTS, repeatable: false }), 'give-up');
  const end = { type: 'answered', status: 500 } as const;
  assert.equal(decideRetry({ ...FACTS, repeatable: false, end }), 'pass-on');
});

test('a request that certainly did not run is sent again, even when its route allows only one attempt', () => {
  const end = { type: 'not-run' } as const;
  const facts = { ...FACTS, end, repeatable: false, runs: 0, maxAttempts: 1 };
  assert.equal(decideRetry(facts), 'send-again');
  assert.equal(decideRetry({ ...facts, sends: 3 }), 'give-up');
});

test('a repeatable request is sent again after a lost answer or a server error, up to the limit of attempts', () => {
  assert.equal(decideRetry(FACTS), 'send-again');
  assert.equal(decideRetry({ ...FACTS, runs: 2 }), 'give-up');
  assert.equal(decideRetry({ ...FACTS, end: { type: 'answered', status: 503 } }), 'send-again');
  assert.equal(decideRetry({ ...FACTS, end: { type: 'answered', status: 503 }, runs: 2 }), 'pass-on');
});

test('an answer other than a server error is passed on', () => {
  [200, 302, 404, 409].forEach((status) => {
    assert.equal(decideRetry({ ...FACTS, end: { type: 'answered', status } }), 'pass-on');
  });
});

test('a request is not sent again when less time remains than an attempt usually takes', () => {
  assert.equal(decideRetry({ ...FACTS, remainingMs: 15 }), 'give-up');
});
