import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import advancePoison from './advancePoison.js';
import { POISON_BLOCK_MS } from './constants.js';
import readBlock from './readBlock.js';
import type { CrashEvent, PoisonEvent, PoisonState } from './types.js';

const EMPTY: PoisonState = { crashes: [], blocks: new Map() };
const STEP_MS = 5_000;

const applyAll = (events: readonly PoisonEvent[]): PoisonState =>
  events.reduce((state, event, index) => advancePoison(state, event, index * STEP_MS).state, EMPTY);

const crash = (serverId: string, ...fingerprints: string[]): CrashEvent => ({ type: 'crash', serverId, fingerprints });

test('blocks a request for ten minutes after it crashed two servers, so that it cannot crash a whole pool', () => {
  const state = applyAll([crash('s1', 'f'), crash('s2', 'f')]);
  assert.equal(readBlock(state, 'f', STEP_MS), POISON_BLOCK_MS);
  assert.equal(readBlock(state, 'f', STEP_MS + POISON_BLOCK_MS), undefined);
});

test('does not block a request that ran on only one of the servers that a poison request crashed', () => {
  const state = applyAll([crash('s1', 'bad', 'good'), crash('s2', 'bad', 'other')]);
  assert.deepEqual([...state.blocks.keys()], ['bad']);
});

test('a crash with one request identifies the poison request among two that ran in the earlier crashes', () => {
  const state = applyAll([crash('s1', 'bad', 'good'), crash('s2', 'bad', 'good'), crash('s3', 'bad')]);
  assert.deepEqual([...state.blocks.keys()], ['bad']);
});

test('repeated crashes of one server id count separately, so that a pool of one server is protected', () => {
  const state = applyAll([crash('s1', 'f'), crash('s1', 'f')]);
  assert.equal(state.blocks.size, 0);
  assert.deepEqual([...applyAll([crash('s1', 'f'), crash('s1', 'f'), crash('s1', 'f')]).blocks.keys()], ['f']);
});

test('crashes of different processes of one server are separate, even when it restarts at once', () => {
  const events = ['1', '2', '3'].map((startId) => ({ ...crash('s1', 'f'), startId }));
  const state = events.reduce((before, event) => advancePoison(before, event, 0).state, EMPTY);
  assert.deepEqual([state.crashes.length, [...state.blocks.keys()]], [3, ['f']]);
});

test('two requests that ran together in every crash are both blocked after three crashes', () => {
  const both = (serverId: string): PoisonEvent => crash(serverId, 'f', 'g');
  assert.equal(applyAll([both('s1'), both('s2')]).blocks.size, 0);
  assert.deepEqual([...applyAll([both('s1'), both('s2'), both('s1')]).blocks.keys()], ['f', 'g']);
});

test('a request whose answer had begun in each crash is blocked only after three crashes', () => {
  const begun = (serverId: string): PoisonEvent => ({ ...crash(serverId, 'f'), doubtful: ['f'] });
  assert.equal(applyAll([begun('s1'), begun('s2')]).blocks.size, 0);
  assert.deepEqual([...applyAll([begun('s1'), begun('s2'), begun('s3')]).blocks.keys()], ['f']);
});

test('an outage of many servers at once does not block a frequent request with doubtful crashes', () => {
  const events = ['s1', 's2', 's3', 's4'].map((serverId) => ({ ...crash(serverId, 'f'), doubtful: ['f'] }));
  const state = events.reduce((before, event, index) => advancePoison(before, event, index * 400).state, EMPTY);
  assert.deepEqual([state.crashes.length, state.blocks.size], [4, 0]);
});

test('a cleared request is not blocked for its earlier crashes, and no other request is cleared', () => {
  const before = [crash('s1', 'f', 'g'), crash('s2', 'f', 'g'), { type: 'cleared', fingerprint: 'f' } as const];
  assert.deepEqual([...applyAll([...before, crash('s3', 'f', 'g')]).blocks.keys()], ['g']);
});

test('reports of hosts that detect an unresponsive server at different times are merged into one crash', () => {
  const early = { ...crash('s1', 'f'), startId: '1' };
  const late = { ...early, agoMs: 6_000 };
  const { state } = advancePoison(advancePoison(EMPTY, early, 0).state, late, 7_000);
  assert.equal(state.crashes.length, 1);
});

test('several reports of one crash are merged into one crash, so that no request is blocked', () => {
  const reports = [crash('s1', 'f'), crash('s1', 'g'), crash('s1', 'f')];
  const state = reports.reduce((before, event) => advancePoison(before, event, 0).state, EMPTY);
  assert.deepEqual([state.crashes.length, state.blocks.size], [1, 0]);
});

test('a release removes the earlier crashes of a request, so that one more crash does not block it again', () => {
  const state = applyAll([crash('s1', 'f'), crash('s2', 'f'), { type: 'release', fingerprint: 'f' }, crash('s3', 'f')]);
  assert.equal(state.blocks.size, 0);
});

test('for any crashes, a blocked request ran in crashes of two servers or in three crashes', () => {
  const anyCrash = fc
    .tuple(fc.constantFrom('s1', 's2', 's3', 's4'), fc.uniqueArray(fc.constantFrom('f', 'g', 'h'), { minLength: 1 }))
    .map(([serverId, fingerprints]) => ({ type: 'crash' as const, serverId, fingerprints }));
  fc.assert(
    fc.property(fc.array(anyCrash, { maxLength: 8 }), (events) => {
      applyAll(events).blocks.forEach((_, fingerprint) => {
        const crashes = events.filter((event) => new Set<string>(event.fingerprints).has(fingerprint));
        const servers = new Set(crashes.map(({ serverId }) => serverId)).size;
        assert.ok(servers >= 2 || crashes.length >= 3, `${fingerprint}: ${crashes.length} crashes, ${servers} servers`);
      });
    }),
    { numRuns: 500, seed: 4_712 },
  );
});
