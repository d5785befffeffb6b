import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { parseServiceDocument } from '@bergamotcove/config';
import { planRequest } from '@bergamotcove/decide';
import createEstimates from '../servers/createEstimates.js';
import createPoolQueues from '../servers/createPoolQueues.js';
import createAdmissionGate from './createAdmissionGate.js';

const DEADLINE_MS = 1_000;
const stage = (name: string) => ({ name, kind: 'encode', pool: 'encoders' });
const document = parseServiceDocument(
  {
    service: 'ledger',
    team: 'team',
    deadlineMs: DEADLINE_MS,
    stages: [stage('s1'), stage('s2'), stage('s3')],
    operations: [{ name: 'draft', idempotent: true, priority: 'draft' }],
    organisations: { default: { requestsPerSecond: 4, tokensPerSecond: 1_000 } },
  },
  { source: 'test' },
);

const start = () => {
  const clock = createManualClock();
  const queues = createPoolQueues(clock);
  const gate = createAdmissionGate({ clock, estimates: createEstimates(clock), queues, liveHosts: () => 2 });
  const admit = (requestId: string) => {
    const [operation] = document.operations;
    assert.ok(operation !== undefined);
    const facts = { requestId, organisation: 'acme', operation, deadlineAtMs: clock.monotonicMs() + DEADLINE_MS };
    return gate.admit(planRequest(document, facts), document);
  };
  return { clock, gate, admit };
};

test("a request over this host's share waits and is refused only when its deadline does not allow it", async () => {
  const { clock, gate, admit } = start();
  // The share is 2 requests/s with a burst of 1 s; the third fits after 500 ms, the fourth only after the deadline.
  const decisions = ['r1', 'r2', 'r3', 'r4'].map(admit);
  assert.equal(gate.waiting(), 1);
  clock.advance(500);
  const types = (await Promise.all(decisions)).map((one) => (one.type === 'refused' ? one.reason : one.type));
  assert.deepEqual(types, ['admitted', 'admitted', 'admitted', 'over-limit']);
  gate.close();
});
