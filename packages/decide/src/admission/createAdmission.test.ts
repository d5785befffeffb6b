import assert from 'node:assert/strict';
import { test } from 'node:test';
import createAdmission from './createAdmission.js';
import type { AdmissionRequest } from './types.js';

const NO_LIMIT = { requestsPerSecond: 1e9, tokensPerSecond: 1e9 };

const makeRequest = (requestId: string, change: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  requestId,
  organisation: 'a',
  weight: 1,
  priority: 'interactive',
  costTokens: 100,
  deadlineAtMs: 3_000,
  runMs: 1_000,
  typicalMs: 500,
  ...change,
});

const releaseAll = (admission: ReturnType<typeof createAdmission>): readonly string[] => {
  const order: string[] = [];
  for (let next = admission.release(0); next !== undefined; next = admission.release(0)) {
    order.push(next.item.requestId);
  }
  return order;
};

test('does not delay a small organisation behind the backlog of a large one', () => {
  const admission = createAdmission();
  ['l1', 'l2', 'l3', 'l4'].forEach((id) => admission.offer(makeRequest(id, { organisation: 'large' }), NO_LIMIT, 0));
  admission.offer(makeRequest('s1', { organisation: 'small' }), NO_LIMIT, 0);
  assert.deepEqual(releaseAll(admission).slice(0, 2).sort(), ['l1', 's1']);
});

test('releases money before drafts of the same organisation, without starving drafts', () => {
  const admission = createAdmission();
  ['d1', 'd2'].forEach((id) => admission.offer(makeRequest(id, { priority: 'draft' }), NO_LIMIT, 0));
  const money = Array.from({ length: 12 }, (_, index) => `m${index}`);
  money.forEach((id) => admission.offer(makeRequest(id, { priority: 'money' }), NO_LIMIT, 0));
  const order = releaseAll(admission);
  assert.equal(order[0], 'm0');
  assert.ok(order.indexOf('d1') < order.indexOf('m11'));
});

test('refuses a request that would miss its deadline at once, with a retry delay', () => {
  const admission = createAdmission();
  const offers = Array.from({ length: 60 }, (_, index) => admission.offer(makeRequest(`r${index}`), NO_LIMIT, 0));
  const refused = offers.filter((offer) => offer.type === 'refused');
  assert.ok(refused.length > 0);
  assert.ok(refused.every((offer) => offer.reason === 'deadline-passed' && offer.retryAfterMs > 0));
});

test('admits a request without a queue although earlier answers were slow', () => {
  const admission = createAdmission();
  const request = makeRequest('r1', { runMs: 9_000, typicalMs: 500 });
  assert.equal(admission.offer(request, NO_LIMIT, 0).type, 'queued');
});

test('holds requests over the limit while their deadline allows it, and refuses others as over the limit', () => {
  const admission = createAdmission();
  const share = { requestsPerSecond: 1, tokensPerSecond: 1e9 };
  const offers = ['r1', 'r2', 'r3', 'r4'].map((id) => admission.offer(makeRequest(id), share, 0));
  assert.deepEqual(
    offers.map((offer) => (offer.type === 'refused' ? offer.reason : offer.type)),
    ['queued', 'queued', 'queued', 'over-limit'],
  );
  assert.equal(admission.release(0)?.item.requestId, 'r1');
  assert.equal(admission.release(500), undefined);
  assert.equal(admission.release(1_000)?.item.requestId, 'r2');
});

test('expires a queued request early when it can no longer meet its deadline', () => {
  const admission = createAdmission();
  ['r1', 'r2', 'r3'].forEach((id) => admission.offer(makeRequest(id), NO_LIMIT, 0));
  assert.deepEqual(admission.expire(0), []);
  const expired = admission.expire(1_990);
  assert.equal(
    expired.some((item) => item.requestId === 'r3'),
    true,
  );
  assert.equal(admission.length, 3 - expired.length);
});
