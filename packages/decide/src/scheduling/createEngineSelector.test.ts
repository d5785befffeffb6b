import assert from 'node:assert/strict';
import { test } from 'node:test';
import createEngineSelector, {
  type EngineSelector,
  type EngineChoice,
  type GenerationNeed,
} from './createEngineSelector.js';

const ENGINES = ['e1', 'e2', 'e3'].map((serverId, index) => ({
  serverId,
  failureDomain: `d${index}`,
  startedAtMs: 1,
  capacityTokens: 300_000,
}));

const SHARED = [
  { partId: 'contract', tokens: 2_500 },
  { partId: 'clauses', tokens: 3_800 },
];

const createNeed = (requestId: string, changes: Partial<GenerationNeed> = {}): GenerationNeed => ({
  requestId,
  parts: [...SHARED, { partId: `own-${requestId}`, tokens: 2_900 }],
  promptTokens: 9_200,
  resultBytes: new Map(),
  avoidServers: [],
  deadlineAtMs: 60_000,
  ...changes,
});

const createSelector = (): EngineSelector => {
  const selector = createEngineSelector();
  selector.setEngines(ENGINES);
  return selector;
};

const send = (selector: EngineSelector, need: GenerationNeed, nowMs: number): EngineChoice => {
  const choice = selector.choose(need, nowMs);
  assert.ok(choice !== undefined);
  selector.place(need, choice, nowMs);
  return choice;
};

test('prefers the engine that has the shared parts cached', () => {
  const selector = createSelector();
  const first = send(selector, createNeed('a'), 0);
  selector.recordEvent({ type: 'first-token', requestId: 'a', slowness: 1 }, 320);
  selector.recordEvent({ type: 'ended', requestId: 'a' }, 800);
  const second = send(selector, createNeed('b'), 1_000);
  assert.equal(second.serverId, first.serverId);
  assert.equal(second.missingTokens, 2_900);
});

test('prefers an idle engine over a cached prefix behind a long queue', () => {
  const selector = createSelector();
  const first = send(selector, createNeed('a'), 0);
  const others = ['b', 'c', 'd', 'e', 'f', 'g'].map((id) => send(selector, createNeed(id), 1));
  assert.ok(others.some(({ serverId }) => serverId !== first.serverId));
});

test('avoids an engine whose first token is overdue', () => {
  const selector = createSelector();
  const stalled = send(selector, createNeed('a'), 0);
  for (let index = 0; index < 5; index += 1) {
    const choice = selector.choose(createNeed(`n${index}`), 3_000 + index);
    assert.notEqual(choice?.serverId, stalled.serverId);
  }
});

test('avoids an engine during its back-off after a failure, and uses it again afterwards', () => {
  const selector = createSelector();
  const failed = send(selector, createNeed('a'), 0);
  selector.recordEvent({ type: 'failed', requestId: 'a' }, 50);
  assert.notEqual(selector.choose(createNeed('b'), 60)?.serverId, failed.serverId);
  assert.equal(selector.choose(createNeed('b'), 5_000)?.serverId, failed.serverId);
});

test('treats the cache of a restarted engine as empty', () => {
  const selector = createSelector();
  const first = send(selector, createNeed('a'), 0);
  selector.recordEvent({ type: 'first-token', requestId: 'a', slowness: 1 }, 320);
  selector.recordEvent({ type: 'ended', requestId: 'a' }, 800);
  selector.setEngines(
    ENGINES.map((engine) => (engine.serverId === first.serverId ? { ...engine, startedAtMs: 2 } : engine)),
  );
  assert.equal(selector.choose(createNeed('b'), 1_000)?.missingTokens, 9_200);
});

test('uses an engine in avoidServers only if there is no other', () => {
  const selector = createSelector();
  assert.equal(selector.choose(createNeed('a', { avoidServers: ['e1', 'e3'] }), 0)?.serverId, 'e2');
  assert.ok(selector.choose(createNeed('a', { avoidServers: ['e1', 'e2', 'e3'] }), 0) !== undefined);
  assert.equal(createEngineSelector().choose(createNeed('a'), 0), undefined);
});

test('prefers the failure domain that holds the results when other costs are equal', () => {
  const selector = createSelector();
  assert.equal(selector.choose(createNeed('a', { resultBytes: new Map([['d2', 2e6]]) }), 0)?.serverId, 'e3');
});

test('avoids an engine that reports a high slowness', () => {
  const selector = createSelector();
  const slow = send(selector, createNeed('a'), 0);
  selector.recordEvent({ type: 'first-token', requestId: 'a', slowness: 8 }, 320);
  selector.recordEvent({ type: 'ended', requestId: 'a' }, 330);
  assert.notEqual(selector.choose(createNeed('b'), 340)?.serverId, slow.serverId);
});

test('drops a generation at its deadline if its end is never reported', () => {
  const selector = createSelector();
  const need = createNeed('a', { deadlineAtMs: 3_000 });
  const unfinished = send(selector, need, 0);
  const others = ENGINES.map(({ serverId }) => serverId).filter((serverId) => serverId !== unfinished.serverId);
  const chooseAt = (nowMs: number) => selector.choose(createNeed('b', { avoidServers: others }), nowMs);
  assert.ok((chooseAt(2_999)?.firstTokenMs ?? 0) > 1_000);
  const expectedMs = createSelector().choose(createNeed('b'), 0)?.firstTokenMs ?? 0;
  assert.ok((chooseAt(3_001)?.firstTokenMs ?? Infinity) <= expectedMs);
});

test('clearing the placements after a scheduler restart keeps the cached parts', () => {
  const selector = createSelector();
  const first = send(selector, createNeed('a'), 0);
  selector.clearPlacements();
  const next = selector.choose(createNeed('b'), 30_000);
  assert.equal(next?.serverId, first.serverId);
  assert.equal(next?.missingTokens, 2_900);
  assert.ok((next?.firstTokenMs ?? Infinity) < 1_000);
});
