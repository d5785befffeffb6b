import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ClaimOp } from '@bergamotcove/protocol';
import applyOp from './applyOp.js';
import evaluateOp from './evaluateOp.js';

const claim: ClaimOp = { type: 'claim', keyHash: 'k', bodyHash: 'b', claimId: 'c', hostId: 'h', wallMs: 0 };
const unknown: ClaimOp = {
  type: 'outcome',
  keyHash: 'k',
  claimId: 'c',
  outcome: { type: 'refused', outcome: 'unknown', reason: 'outcome-unknown' },
  wallMs: 1,
};

test('every operation is done once it was applied, so that no host appends it repeatedly', () => {
  const answered: ClaimOp = { ...unknown, outcome: { type: 'answered', answer: '{}' } };
  const release: ClaimOp = { ...claim, type: 'release' };
  [claim, unknown, answered, release].forEach((op) => {
    const record = applyOp(op.type === 'claim' ? undefined : applyOp(undefined, claim), op);
    assert.deepEqual(evaluateOp(record, op, false), { type: 'done' }, op.type);
  });
});

test('an unknown outcome can still be replaced by a known one', () => {
  const record = applyOp(applyOp(undefined, claim), unknown);
  const ran: ClaimOp = { ...unknown, outcome: { type: 'refused', outcome: 'ran', reason: 'answer-dropped' } };
  assert.equal(evaluateOp(record, ran, false), undefined);
});

test('the answer of a host that was only unreachable replaces a recorded `ran`, and nothing replaces an answer', () => {
  const ran: ClaimOp = { ...unknown, outcome: { type: 'refused', outcome: 'ran', reason: 'answer-dropped' } };
  const answered: ClaimOp = { ...unknown, outcome: { type: 'answered', answer: '1' } };
  const record = applyOp(applyOp(applyOp(undefined, claim), ran), answered);
  assert.deepEqual(record?.status, { type: 'finished', outcome: answered.outcome, wallMs: 1 });
  const later: ClaimOp[] = [ran, unknown, { ...claim, type: 'release' }, { ...answered, claimId: 'other' }];
  later.forEach((op) => assert.equal(applyOp(record, op), record, op.type));
  // The call ran, so that a release must not free the key.
  const settled = applyOp(applyOp(undefined, claim), ran);
  assert.equal(applyOp(settled, { ...claim, type: 'release' }), settled);
});

test('an outcome whose claim the host has not read is appended once, so that it is not lost', () => {
  const answered: ClaimOp = { ...unknown, outcome: { type: 'answered', answer: '1' } };
  const other = applyOp(undefined, { ...claim, claimId: 'other' });
  const released = applyOp(other, { ...claim, claimId: 'other', type: 'release' });
  [undefined, other, released].forEach((record) => {
    assert.equal(evaluateOp(record, answered, false), undefined);
    // After a successful append, or the read that follows a failed one, it is certain that there is no such claim.
    assert.deepEqual(evaluateOp(record, answered, true), { type: 'done' });
  });
});
