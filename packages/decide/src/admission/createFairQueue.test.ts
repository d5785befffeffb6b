import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createFairQueue from './createFairQueue.js';
import type { AdmissionRequest } from './types.js';

const ORGANISATIONS = ['a', 'b', 'c', 'd'];
const WEIGHTS = [1, 2, 4, 1];
const MAX_COST = 200;
/** Credit of an organisation that was idle; equals CREDIT_TOKENS of the queue. */
const CREDIT = 400;

const requests = fc.array(
  fc.record({
    organisation: fc.nat(ORGANISATIONS.length - 1),
    priority: fc.constantFrom('money' as const, 'booking' as const, 'interactive' as const, 'draft' as const),
    costTokens: fc.integer({ min: 1, max: MAX_COST }),
    pops: fc.nat(2),
  }),
  { minLength: 1, maxLength: 60 },
);

const toRequest = (index: number, organisation: number, costTokens: number): AdmissionRequest => ({
  requestId: String(index),
  organisation: ORGANISATIONS[organisation] as string,
  weight: WEIGHTS[organisation] as number,
  priority: 'interactive',
  costTokens,
  deadlineAtMs: 0,
  runMs: 0,
  typicalMs: 0,
});

test('list counts the same work before a queued request as tokensBefore', () => {
  fc.assert(
    fc.property(requests, (steps) => {
      const queue = createFairQueue<AdmissionRequest>();
      steps.forEach(({ organisation, priority, costTokens, pops }, index) => {
        queue.push({ ...toRequest(index, organisation, costTokens), priority });
        Array.from({ length: pops === 2 ? 1 : 0 }).forEach(() => queue.pop());
      });
      // tokensBefore places the new request behind its own backlog; its position in the list must agree.
      const probe = { ...toRequest(steps.length, 0, 1), priority: 'draft' as const };
      const before = queue.tokensBefore(probe);
      queue.push(probe);
      const place = queue.list().find(({ item }) => item === probe);
      assert.ok(Math.abs((place?.tokensBefore ?? -1) - before) < 1e-6, `${place?.tokensBefore} and ${before}`);
    }),
  );
});

test('serves organisations with a backlog in proportion to their weights, so that none starves', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: MAX_COST }), { minLength: 160, maxLength: 160 }), (costs) => {
      const queue = createFairQueue<AdmissionRequest>();
      costs.forEach((cost, index) => queue.push(toRequest(index, index % ORGANISATIONS.length, cost)));
      const served = ORGANISATIONS.map(() => 0);
      const left = ORGANISATIONS.map(() => costs.length / ORGANISATIONS.length);
      while (left.every((count) => count > 0)) {
        const organisation = ORGANISATIONS.indexOf(queue.pop()?.organisation ?? '');
        assert.ok(organisation >= 0);
        left[organisation] = (left[organisation] as number) - 1;
        const position = costs.length / ORGANISATIONS.length - left[organisation] - 1;
        const sent = costs[position * ORGANISATIONS.length + organisation] as number;
        served[organisation] = (served[organisation] as number) + sent / (WEIGHTS[organisation] as number);
        assert.ok(Math.max(...served) - Math.min(...served) <= 2 * MAX_COST);
      }
    }),
  );
});

test('an organisation that was idle gets no more than its credit ahead of the others', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: MAX_COST }), { minLength: 20, maxLength: 40 }), (costs) => {
      const queue = createFairQueue<AdmissionRequest>();
      Array.from({ length: 100 }).forEach((_, index) => queue.push(toRequest(index, 0, 100)));
      Array.from({ length: 50 }).forEach(() => queue.pop());
      costs.forEach((cost, index) => queue.push(toRequest(1_000 + index, 3, cost)));
      let ahead = 0;
      for (let next = queue.pop(); next?.organisation === 'd'; next = queue.pop()) {
        ahead += next.costTokens;
      }
      assert.ok(ahead <= CREDIT + 2 * MAX_COST);
    }),
  );
});

test('does not release removed requests, and serves their organisation once when it returns', () => {
  const queue = createFairQueue<AdmissionRequest>();
  const gone = [0, 1, 2].map((index) => toRequest(index, 0, 10));
  gone.forEach((item) => queue.push(item));
  queue.removeAll(gone);
  const kept = toRequest(3, 0, 10);
  queue.push(kept);
  assert.equal(queue.pop(), kept);
  assert.equal(queue.pop(), undefined);
  assert.equal(queue.tokens, 0);
});
