import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ManualClock } from '@bergamotcove/clock';
import { TransportError, type PeerClient } from '@bergamotcove/transport';
import createMemoryStore from './_lib/createMemoryStore.test.js';
import { formatClaim, formatOutcome, hashKey } from './_lib/formatOps.js';
import startLogHosts, { type PeerBehaviour } from './_lib/startLogHosts.test.js';
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
  maxDurationMs: 5_000,
  serversCheckKeys: false,
  queryStatus: () => Promise.resolve(executed),
});

/** Advances the clock until a promise has settled. */
const advanceUntilSettled = async <Result>(clock: ManualClock, promise: Promise<Result>): Promise<Result> => {
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

/** Starts two hosts; the second waits for the first, the claimant, through `callClaimant`. */
const startHosts = (callClaimant: (clock: ManualClock) => PeerClient['call'], gate: () => PeerBehaviour) => {
  const store = createMemoryStore().client;
  const { clock, logs } = startLogHosts(store, { hosts: 2, limits: {}, gate: () => Promise.resolve(gate()) });
  const [claimant, other] = logs;
  assert.ok(claimant !== undefined && other !== undefined);
  const host = { hostId: 'h0', address: '10.0.0.1', peersPort: 0, failureDomain: 'a', region: 'r' };
  const wait = createOutcomeWait({
    clock,
    logs: other,
    openClaims: createOpenClaims(clock, other),
    peers: { call: callClaimant(clock) },
    directory: { liveHosts: () => [host] },
    processId: 'h1/p',
  });
  const finish = <Result>(promise: Promise<Result>): Promise<Result> => advanceUntilSettled(clock, promise);
  const claim = (request: ClaimRequest) =>
    finish(claimant.submit(formatClaim(request, { processId: 'h0/p', wallMs: clock.wallMs() }), 1_000));
  return { clock, claimant, other, wait, finish, claim };
};

/** The first host holds a claim and cannot be reached by the second. */
const start = async () => {
  const hosts = startHosts(
    () => () => Promise.reject(new TransportError('not-connected', 'cut off')),
    () => 'answered',
  );
  assert.deepEqual(await hosts.claim(makeRequest('c1', true)), { type: 'done' });
  return hosts;
};

test('a resent request gets the answer of a host that was only unreachable, even after `ran` was recorded on its behalf', async () => {
  const { clock, claimant, wait, finish } = await start();
  const resend = makeRequest('c2', true);
  const early = await finish(wait(resend));
  assert.deepEqual(early.type === 'settled' && early.result.type === 'refused' && early.result.outcome, 'ran');
  const answer = { type: 'answered' as const, answer: '{"receipt":1}' };
  await finish(claimant.persist(formatOutcome(hashKey(resend), 'c1', answer, clock.wallMs())));
  const late = await finish(wait({ ...resend, requestId: 'c3', deadlineAtMs: clock.monotonicMs() + 2_000 }));
  assert.deepEqual(late, { type: 'settled', result: { type: 'answered', output: { receipt: 1 }, stages: [] } });
});

test('a resent request waits for the outcome that an unreachable host appends directly, instead of settling as `ran`', async () => {
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

test('a call that has not run is not settled as not-run while its host is only unreachable, because it may still be sent', async () => {
  const { wait, finish } = await start();
  const waited = await finish(wait(makeRequest('c2', false)));
  assert.deepEqual(waited.type === 'settled' && waited.result.type === 'refused' && waited.result.outcome, 'unknown');
});

test('an outcome in the log is found within a second when its host stops replying, whichever host owns the shard', async () => {
  const neverReply =
    (clock: ManualClock): PeerClient['call'] =>
    (_target, _method, _params, { timeoutMs = 1_000 }) =>
      new Promise((_resolve, reject) => {
        clock.schedule(timeoutMs, () => reject(new TransportError('aborted', 'no reply in time')));
      });
  const findOutcome = async (idempotencyKey: string): Promise<number> => {
    let peerBehaviour: PeerBehaviour = 'answered';
    const { clock, claimant, other, wait, finish, claim } = startHosts(neverReply, () => peerBehaviour);
    const { queryStatus, ...first } = { ...makeRequest('c1', true), idempotencyKey };
    await claim(first);
    const waiting = wait({ ...first, requestId: 'c2', deadlineAtMs: clock.monotonicMs() + 2_000 });
    await finish(other.read(hashKey(first), { refresh: false, limitMs: 100 }));
    const answer = { type: 'answered' as const, answer: '1' };
    await finish(claimant.persist(formatOutcome(hashKey(first), 'c1', answer, clock.wallMs())));
    peerBehaviour = 'reply-lost';
    const cutAtMs = clock.monotonicMs();
    const settled = await finish(waiting);
    assert.equal(settled.type === 'settled' && settled.result.type, 'answered');
    return clock.monotonicMs() - cutAtMs;
  };
  for (const key of ['k1', 'k2', 'k3', 'k4', 'k5', 'k6']) {
    const elapsedMs = await findOutcome(key);
    assert.ok(elapsedMs < 1_000, `${key}: ${elapsedMs} ms`);
  }
});
