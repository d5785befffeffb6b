import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import advancePoison from './advancePoison.js';
import { POISON_BLOCK_MS } from './constants.js';
import readBlock from './readBlock.js';
import type { CrashEvent, PoisonEvent, PoisonState } from './types.js';

const EMPTY: PoisonState = { crashes: [], blocks: new Map() };
const STEP_MS = 5_000;

const play = (events: readonly PoisonEvent[]): PoisonState =>
  events.reduce((state, event, index) => advancePoison(state, event, index * STEP_MS).state, EMPTY);

const crash = (serverId: string, ...fingerprints: string[]): CrashEvent => ({ type: 'crash', serverId, fingerprints });

test('blocks a request after two servers and for ten minutes, so that it cannot take down a whole pool', () => {
  const state = play([crash('s1', 'f'), crash('s2', 'f')]);
  assert.equal(readBlock(state, 'f', STEP_MS), POISON_BLOCK_MS);
  assert.equal(readBlock(state, 'f', STEP_MS + POISON_BLOCK_MS), undefined);
});

test('does not block a request that shared one crashing server with the culprit', () => {
  const state = play([crash('s1', 'bad', 'good'), crash('s2', 'bad', 'other')]);
  assert.deepEqual([...state.blocks.keys()], ['bad']);
});

test('a request alone on a server tells it from the one that it met before', () => {
  const state = play([crash('s1', 'bad', 'good'), crash('s2', 'bad', 'good'), crash('s3', 'bad')]);
  assert.deepEqual([...state.blocks.keys()], ['bad']);
});

test('a server that crashes again under its id counts again, so that a pool of one server is protected', () => {
  const state = play([crash('s1', 'f'), crash('s1', 'f')]);
  assert.equal(state.blocks.size, 0);
  assert.deepEqual([...play([crash('s1', 'f'), crash('s1', 'f'), crash('s1', 'f')]).blocks.keys()], ['f']);
});

test('starts of one server are told apart, however soon it is back', () => {
  const events = ['1', '2', '3'].map((startId) => ({ ...crash('s1', 'f'), startId }));
  const state = events.reduce((before, event) => advancePoison(before, event, 0).state, EMPTY);
  assert.deepEqual([state.crashes.length, [...state.blocks.keys()]], [3, ['f']]);
});

test('two requests that always meet on two servers are blocked after three crashes', () => {
  const both = (serverId: string): PoisonEvent => crash(serverId, 'f', 'g');
  assert.equal(play([both('s1'), both('s2')]).blocks.size, 0);
  assert.deepEqual([...play([both('s1'), both('s2'), both('s1')]).blocks.keys()], ['f', 'g']);
});

test('requests that the server had begun to answer are blocked only after three crashes', () => {
  const begun = (serverId: string): PoisonEvent => ({ ...crash(serverId, 'f'), doubtful: ['f'] });
  assert.equal(play([begun('s1'), begun('s2')]).blocks.size, 0);
  assert.deepEqual([...play([begun('s1'), begun('s2'), begun('s3')]).blocks.keys()], ['f']);
});

test('an outage of many servers is no proof against a request that is often sent', () => {
  const events = ['s1', 's2', 's3', 's4'].map((serverId) => ({ ...crash(serverId, 'f'), doubtful: ['f'] }));
  const state = events.reduce((before, event, index) => advancePoison(before, event, index * 400).state, EMPTY);
  assert.deepEqual([state.crashes.length, state.blocks.size], [4, 0]);
});

test('a request that is cleared of the crashes before is not blocked for them, and no other request is cleared', () => {
  const before = [crash('s1', 'f', 'g'), crash('s2', 'f', 'g'), { type: 'cleared', fingerprint: 'f' } as const];
  assert.deepEqual([...play([...before, crash('s3', 'f', 'g')]).blocks.keys()], ['g']);
});

test('hosts that notice a silent server at different times report one crash', () => {
  const early = { ...crash('s1', 'f'), startId: '1' };
  const late = { ...early, agoMs: 6_000 };
  const { state } = advancePoison(advancePoison(EMPTY, early, 0).state, late, 7_000);
  assert.equal(state.crashes.length, 1);
});

test('the reports of two hosts about one crash are one crash, so that nobody is blocked by it', () => {
  const reports = [crash('s1', 'f'), crash('s1', 'g'), crash('s1', 'f')];
  const state = reports.reduce((before, event) => advancePoison(before, event, 0).state, EMPTY);
  assert.deepEqual([state.crashes.length, state.blocks.size], [1, 0]);
});

test('a release forgets the earlier crashes, so that the next single crash does not block again', () => {
  const state = play([crash('s1', 'f'), crash('s2', 'f'), { type: 'release', fingerprint: 'f' }, crash('s3', 'f')]);
  assert.equal(state.blocks.size, 0);
});

test('whatever else crashes, only a request that ran in two crashes is blocked', () => {
  const anyCrash = fc
    .tuple(fc.constantFrom('s1', 's2', 's3', 's4'), fc.uniqueArray(fc.constantFrom('f', 'g', 'h'), { minLength: 1 }))
    .map(([serverId, fingerprints]) => ({ type: 'crash' as const, serverId, fingerprints }));
  fc.assert(
    fc.property(fc.array(anyCrash, { maxLength: 8 }), (events) => {
      play(events).blocks.forEach((_, fingerprint) => {
        const crashes = events.filter((event) => new Set<string>(event.fingerprints).has(fingerprint));
        const servers = new Set(crashes.map(({ serverId }) => serverId)).size;
        assert.ok(servers >= 2 || crashes.length >= 3, `${fingerprint}: ${crashes.length} crashes, ${servers} servers`);
      });
    }),
    { numRuns: 500, seed: 4_712 },
  );
});
