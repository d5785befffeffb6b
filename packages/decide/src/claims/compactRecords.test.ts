import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ClaimRecord } from '@bergamotcove/protocol';
import advanceShard from './advanceShard.js';
import compactRecords, { fromSnapshot, toSnapshot } from './compactRecords.js';
import { CLAIM_RETENTION_MS, FULL_RETRY_MS, MAX_SNAPSHOT_BYTES } from './constants.js';
import createShardState from './createShardState.js';
import findRecord from './findRecord.js';
import isSameBody from './isSameBody.js';
import type { ShardContent, ShardState } from './types.js';

/** 460 non-idempotent requests/s over 64 shards. */
const TARGET_PER_SECOND = 460 / 64;
const STEP_MS = 600_000;
const CLAIMS_PER_STEP = Math.round((TARGET_PER_SECOND * STEP_MS) / 1_000);
const EMPTY: ShardContent = { records: new Map(), runs: [], segments: [], nextSegment: 1 };

/** Creates a hash of the real length that begins with the index, so that shortened hashes differ too. */
const makeHash = (index: number): string => index.toString(36).padStart(10, '0').padEnd(22, 'x');

const makeBody = (index: number): string => index.toString(36).padEnd(22, 'y');

const makeAnswered = (index: number, wallMs: number): [string, ClaimRecord] => {
  const outcome = { type: 'answered' as const, answer: JSON.stringify({ receipt: index }) };
  const status = { type: 'finished' as const, outcome, wallMs };
  const claimId = `7b7a2a52-6d38-4a5c-9d43-${index}`;
  return [makeHash(index), { bodyHash: makeBody(index), claimId, hostId: 'entry-1/0a1b2c3d', wallMs, status }];
};

const addStep = (shard: ShardContent, from: number, wallMs: number): ShardContent => {
  const added = Array.from({ length: CLAIMS_PER_STEP }, (_, index) => makeAnswered(from + index, wallMs));
  return { ...shard, records: new Map([...shard.records, ...added]) };
};

const createState = (shard: ShardContent): ShardState => ({
  ...createShardState(),
  phase: { type: 'ready' },
  base: shard.records,
  runs: shard.runs,
  segments: shard.segments,
  nextSegment: shard.nextSegment,
});

test('24 hours at the target rate fit into values of 1 MB, no claim is lost, and the number of segments is bounded', () => {
  const options = { hostId: 'h', wallMs: 0, maxSegments: 64 };
  let shard: ShardContent = EMPTY;
  const steps = (1.125 * CLAIM_RETENTION_MS) / STEP_MS;
  for (let step = 0; step < steps; step += 1) {
    const wallMs = step * STEP_MS;
    shard =
      compactRecords(addStep(shard, step * CLAIMS_PER_STEP, wallMs), { ...options, wallMs }) ?? assert.fail('full');
    assert.ok(JSON.stringify(toSnapshot(shard, step)).length <= MAX_SNAPSHOT_BYTES);
  }
  assert.ok(shard.segments.every(({ claims }) => claims.length <= MAX_SNAPSHOT_BYTES));
  assert.ok(shard.segments.length <= 64, `${shard.segments.length} segments`);
  assert.ok((shard.segments[0]?.number ?? 0) > 1, 'the first segment must have expired');
  const state = createState(shard);
  const end = steps * CLAIMS_PER_STEP;
  const first = end - (CLAIM_RETENTION_MS / STEP_MS) * CLAIMS_PER_STEP;
  for (let index = first; index < end; index += 997) {
    const record = findRecord(state, makeHash(index));
    assert.ok(record !== undefined && isSameBody(record, makeBody(index)), `claim ${index} was lost`);
    assert.equal(isSameBody(record, makeBody(index + 1)), false);
  }
  assert.equal(findRecord(state, makeHash(end)), undefined);
});

test('a shard at its segment limit refuses new claims, appends outcomes, and compacts after claims expire', () => {
  const records = new Map(Array.from({ length: 40_000 }, (_, index) => makeAnswered(index, 0)));
  const full = { ...createState({ ...EMPTY, records }), logEntries: 1_000 };
  const options = { hostId: 'h', wallMs: STEP_MS, maxSegments: 0 };
  const fields = { keyHash: 'new', bodyHash: 'b', claimId: 'c', hostId: 'h2', wallMs: CLAIM_RETENTION_MS * 2 };
  const submitted = { type: 'submitted' as const, opId: '1', op: { type: 'claim' as const, ...fields } };
  const waiting = advanceShard(full, submitted, 1, options);
  const refused = advanceShard(waiting.state, { type: 'commit-due' }, 2, options);
  assert.deepEqual(refused.actions, [{ type: 'settle', opId: '1', result: { type: 'full' } }]);
  const outcome = {
    type: 'outcome' as const,
    keyHash: 'k',
    claimId: 'c',
    outcome: { type: 'dropped' as const },
    wallMs: 0,
  };
  const known = { ...refused.state, recent: new Map([['k', { ...fields, status: { type: 'open' as const } }]]) };
  const taken = advanceShard(known, { type: 'submitted', opId: '2', op: outcome }, 3, options);
  assert.deepEqual(
    advanceShard(taken.state, { type: 'commit-due' }, 4, options).actions.map(({ type }) => type),
    ['append'],
  );
  const later = { ...options, wallMs: CLAIM_RETENTION_MS * 3 };
  const nowMs = FULL_RETRY_MS + 3;
  const wanted = advanceShard(known, { ...submitted, opId: '3' }, nowMs, later);
  assert.deepEqual(
    advanceShard(wanted.state, { type: 'commit-due' }, nowMs, later).actions.map(({ type }) => type),
    ['compact'],
  );
});

test('a snapshot restores every claim, also when answers were dropped or claims sealed', () => {
  const indexes = fc.uniqueArray(fc.nat({ max: 1_000_000 }), { maxLength: 60 });
  const segmentBytes = fc.constantFrom(0, 300, 1_000_000);
  fc.assert(
    fc.property(indexes, segmentBytes, fc.constantFrom(0, STEP_MS * 3), (claims, limitBytes, ageMs) => {
      const records = new Map(claims.map((index) => makeAnswered(index, 0)));
      const options = { hostId: 'other', wallMs: ageMs, segmentBytes: limitBytes };
      // Retention advances only with the claims of other hosts.
      const [key, now] = makeAnswered(2_000_000, ageMs);
      const compacted = compactRecords({ ...EMPTY, records: new Map([...records, [key, now]]) }, options);
      const shard = compacted ?? assert.fail('full');
      const restored = { ...shard, ...fromSnapshot(toSnapshot(shard, 1)) };
      claims.forEach((index) => {
        const record = findRecord(createState(restored), makeHash(index)) ?? assert.fail(`claim ${index} was lost`);
        assert.equal(record.status.type, 'finished');
        assert.ok(isSameBody(record, makeBody(index)));
      });
    }),
    { numRuns: 300, seed: 4_713 },
  );
});
