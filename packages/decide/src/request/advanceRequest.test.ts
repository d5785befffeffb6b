import assert from 'node:assert/strict';
import { test } from 'node:test';
import advanceRequest from './advanceRequest.js';
import createRequestState from './createRequestState.js';
import type { PlannedStage, RequestEvent, RequestState, RequestStep } from './types.js';

const makeStage = (index: number, name: string, effect: 'repeatable' | 'once' = 'repeatable'): PlannedStage => ({
  index,
  name,
  kind: effect === 'once' ? 'call' : 'encode',
  pool: `${name}-pool`,
  effect,
  serversCheckFencing: false,
  serversCheckKeys: false,
  statusQuery: false,
});

const makeState = (stages: readonly PlannedStage[]): RequestState =>
  createRequestState({
    requestId: 'r1',
    service: 'clerk',
    organisation: 'acme',
    operation: { name: 'op', idempotent: true, priority: 'draft', expectedOutputTokens: 8, longOutputTokens: 64 },
    stages,
    deadlineAtMs: 1_000,
    maxAttempts: 3,
  });

const applyAll = (state: RequestState, events: readonly RequestEvent[]): RequestStep =>
  events.reduce<RequestStep>((step, event) => advanceRequest(step.state, event, 10), { state, actions: [] });

const sent = (attemptId: string, serverId = 's1'): RequestEvent => ({ type: 'attempt-sent', attemptId, serverId });
const answered = (attemptId: string, output: unknown): RequestEvent => ({
  type: 'attempt-answered',
  attemptId,
  output,
});
const lost = (attemptId: string): RequestEvent => ({
  type: 'attempt-failed',
  attemptId,
  failure: { type: 'connection-lost' },
  retryAllowed: true,
});

const stalled = (attemptId: string): RequestEvent => ({
  type: 'attempt-failed',
  attemptId,
  failure: { type: 'stalled' },
  retryAllowed: true,
});

test('ignores an answer to an attempt that is not open, so that a late answer cannot reach another stage', () => {
  const step = applyAll(makeState([makeStage(0, 'a'), makeStage(1, 'b')]), [
    { type: 'started' },
    sent('r1.0'),
    answered('r1.0', 'first'),
    answered('r1.0', 'late'),
  ]);
  assert.deepEqual(step.state.outputs, [{ stage: 'a', output: 'first' }]);
});

test('does not send a once stage again after its connection broke, and refuses with the outcome unknown', () => {
  const step = applyAll(makeState([makeStage(0, 'post', 'once')]), [
    { type: 'started' },
    { type: 'claim-decided', decision: { type: 'granted' } },
    sent('r1.0'),
    lost('r1.0'),
  ]);
  assert.deepEqual(step.actions, [
    { type: 'record', result: { type: 'refused', outcome: 'unknown', reason: 'outcome-unknown' } },
  ]);
});

test('does not send a once stage before the claim is durable', () => {
  const step = applyAll(makeState([makeStage(0, 'post', 'once')]), [{ type: 'started' }]);
  assert.deepEqual(step.actions, [{ type: 'claim' }]);
});

test('retries a repeatable stage on another server after a crash', () => {
  const step = applyAll(makeState([makeStage(0, 'a')]), [{ type: 'started' }, sent('r1.0', 's7'), lost('r1.0')]);
  const action = step.actions[0];
  assert.equal(action?.type === 'dispatch' && action.avoidServers.includes('s7'), true);
});

test('resumes a broken stream at the next token and drops repeated ones', () => {
  const stage = { ...makeStage(0, 'g'), kind: 'generate' as const };
  const step = applyAll(makeState([stage]), [
    { type: 'started' },
    sent('r1.0'),
    { type: 'tokens-arrived', attemptId: 'r1.0', firstTokenIndex: 0, tokens: ['a', 'b'] },
    lost('r1.0'),
    sent('r1.1', 's2'),
    { type: 'tokens-arrived', attemptId: 'r1.1', firstTokenIndex: 1, tokens: ['b', 'c'] },
  ]);
  assert.equal(step.state.text, 'abc');
  assert.deepEqual(step.actions, [{ type: 'emit-tokens', firstTokenIndex: 2, tokens: ['c'] }]);
});

test('hedges a resumed stream without tokens, which would wait until the deadline in a network partition', () => {
  const stage = { ...makeStage(0, 'g'), kind: 'generate' as const };
  const step = applyAll(makeState([stage]), [
    { type: 'started' },
    sent('r1.0'),
    { type: 'tokens-arrived', attemptId: 'r1.0', firstTokenIndex: 0, tokens: ['a', 'b'] },
    stalled('r1.0'),
    sent('r1.1', 's2'),
    { type: 'hedge-due', attemptId: 'r1.1' },
  ]);
  const action = step.actions[0];
  assert.equal(action?.type === 'dispatch' && action.hedge && action.resumeTokenIndex, 2);
});

test('does not count stalled attempts against the limit, so that a network partition does not exhaust it', () => {
  const ids = ['r1.0', 'r1.1', 'r1.2', 'r1.3'];
  const step = applyAll(makeState([makeStage(0, 'a')]), [
    { type: 'started' },
    ...ids.flatMap((id) => [sent(id), stalled(id)]),
  ]);
  assert.equal(step.actions[0]?.type, 'dispatch');
});

test('refuses with unknown instead of not-run while an earlier request with the key may have run', () => {
  const before = makeState([makeStage(0, 'post', 'once')]);
  const uncertain = { ...before, plan: { ...before.plan, earlierMayHaveRun: true } };
  const unavailable: RequestEvent = { type: 'claim-decided', decision: { type: 'unavailable', retryAfterMs: 100 } };
  const outcomes = [before, uncertain].map((state) => {
    const [action] = applyAll(state, [{ type: 'started' }, unavailable]).actions;
    return action?.type === 'finish' && action.result.type === 'refused' ? action.result.outcome : action?.type;
  });
  assert.deepEqual(outcomes, ['not-run', 'unknown']);
});
