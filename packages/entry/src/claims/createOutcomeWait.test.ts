import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ManualClock } from '@bergamotcove/clock';
import { TransportError, type PeerClient } from '@bergamotcove/transport';
import createMemoryStore from './_lib/createMemoryStore.test.js';
import { formatClaim, formatOutcome, hashKey } from './_lib/formatOps.js';
import startLogHosts, { type PeerFate } from './_lib/startLogHosts.test.js';
import createOpenClaims from './createOpenClaims.js';
import createOutcomeWait from './createOutcomeWait.js';
import type { ClaimRequest } from './types.js';

const makeRequest = (requestId: string, executed: boolean): ClaimRequest => ({
  organisation: 'acme',
  service: 'ledger',
  idempotencyKey: 'k',
  bodyHash: 'body',
  requestId,
  deadlineAtMs: 5_000,
  longestMs: 5_000,
  serversCheckKeys: false,
  queryStatus: () => Promise.resolve(executed),
});

/** Advances the clock until a promise has settled. */
const finishOn = async <Result>(clock: ManualClock, promise: Promise<Result>): Promise<Result> => {
  let done = false;
  const watched = promise.finally(() => {
    done = true;
  });
  for (let step = 0; step < 1_000 && !done; step += 1) {
    clock.advance(10);
    await new Promise(setImmediate);
  }
  return watched;
};

/** Two hosts; the second cannot reach the first, which runs a claimed call. */
const start = async () => {
  const { clock, logs } = startLogHosts(createMemoryStore().client, {
    hosts: 2,
    limits: {},
    gate: () => Promise.resolve('answered'),
  });
  const [claimant, other] = logs;
  assert.ok(claimant !== undefined && other !== undefined);
  const unreachable: PeerClient = { call: () => Promise.reject(new TransportError('not-connected', 'cut off')) };
  const host = { hostId: 'h0', address: '10.0.0.1', peersPort: 0, failureDomain: 'a', region: 'r' };
  const wait = createOutcomeWait({
    clock,
    logs: other,
    open: createOpenClaims(clock, other),
    peers: unreachable,
    directory: { liveHosts: () => [host] },
    processId: 'h1/p',
  });
  const finish = <Result>(promise: Promise<Result>): Promise<Result> => finishOn(clock, promise);
  const first = makeRequest('c1', true);
  const granted = claimant.submit(formatClaim(first, { processId: 'h0/p', wallMs: clock.wallMs() }), 1_000);
  assert.deepEqual(await finish(granted), { type: 'done' });
  return { clock, claimant, wait, finish };
};

test('the answer of a host that was only unreachable reaches resends after ran was recorded for it', async () => {
  const { clock, claimant, wait, finish } = await start();
  const resend = makeRequest('c2', true);
  const early = await finish(wait(resend));
  assert.deepEqual(early.type === 'settled' && early.result.type === 'refused' && early.result.outcome, 'ran');
  const answer = { type: 'answered' as const, answer: '{"receipt":1}' };
  await finish(claimant.persist(formatOutcome(hashKey(resend), 'c1', answer, clock.wallMs())));
  const late = await finish(wait({ ...resend, requestId: 'c3', deadlineAtMs: clock.monotonicMs() + 2_000 }));
  assert.deepEqual(late, { type: 'settled', result: { type: 'answered', output: { receipt: 1 }, stages: [] } });
});

test('a resend waits for the outcome that an unreachable host appends by itself, in place of settling as ran', async () => {
  const { clock, claimant, wait, finish } = await start();
  const resend = makeRequest('c2', true);
  const waiting = wait(resend);
  const answer = { type: 'answered' as const, answer: '1' };
  clock.schedule(1_500, () => {
    claimant.persist(formatOutcome(hashKey(resend), 'c1', answer, clock.wallMs())).catch(() => assert.fail());
  });
  const settled = await finish(waiting);
  assert.equal(settled.type === 'settled' && settled.result.type, 'answered');
});

test('a call that has not run yet is not settled while its host is only unreachable, because it may still be sent', async () => {
  const { wait, finish } = await start();
  const waited = await finish(wait(makeRequest('c2', false)));
  assert.deepEqual(waited.type === 'settled' && waited.result.type === 'refused' && waited.result.outcome, 'unknown');
});

test('an outcome in the log is found within a second when its host falls silent, whoever owns the shard', async () => {
  const findOutcome = async (idempotencyKey: string): Promise<number> => {
    const net: { fate: PeerFate } = { fate: 'answered' };
    const { clock, logs } = startLogHosts(createMemoryStore().client, {
      hosts: 2,
      limits: {},
      gate: () => Promise.resolve(net.fate),
    });
    const [claimant, other] = logs;
    assert.ok(claimant !== undefined && other !== undefined);
    const silent: PeerClient = {
      call: (_target, _method, _params, { timeoutMs = 1_000 }) =>
        new Promise((_resolve, reject) => {
          clock.schedule(timeoutMs, () => reject(new TransportError('aborted', 'no reply in time')));
        }),
    };
    const host = { hostId: 'h0', address: '10.0.0.1', peersPort: 0, failureDomain: 'a', region: 'r' };
    const wait = createOutcomeWait({
      clock,
      logs: other,
      open: createOpenClaims(clock, other),
      peers: silent,
      directory: { liveHosts: () => [host] },
      processId: 'h1/p',
    });
    const { queryStatus, ...first } = { ...makeRequest('c1', true), idempotencyKey };
    const op = formatClaim(first, { processId: 'h0/p', wallMs: clock.wallMs() });
    await finishOn(clock, claimant.submit(op, 1_000));
    const waiting = wait({ ...first, requestId: 'c2', deadlineAtMs: clock.monotonicMs() + 2_000 });
    await finishOn(clock, other.read(hashKey(first), { refresh: false, limitMs: 100 }));
    const answer = { type: 'answered' as const, answer: '1' };
    await finishOn(clock, claimant.persist(formatOutcome(hashKey(first), 'c1', answer, clock.wallMs())));
    net.fate = 'reply-lost';
    const cutAtMs = clock.monotonicMs();
    const settled = await finishOn(clock, waiting);
    assert.equal(settled.type === 'settled' && settled.result.type, 'answered');
    return clock.monotonicMs() - cutAtMs;
  };
  for (const key of ['k1', 'k2', 'k3', 'k4', 'k5', 'k6']) {
    const elapsedMs = await findOutcome(key);
    assert.ok(elapsedMs < 1_000, `${key}: ${elapsedMs} ms`);
  }
});
