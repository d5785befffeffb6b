import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BatchSpec } from '@bergamotcove/config';
import type { BatchJob, BatchServer } from '../types.js';
import createNearbySlots from './createNearbySlots.js';
import { createServerState, type ServerState } from './serverState.js';

const SPEC: BatchSpec = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 20,
  callMs: 200,
  pieceMs: 4,
  resultMemoryBytes: 1_000_000,
  keepResultMs: 4_000,
};
const HERE: BatchServer = { serverId: 's1', failureDomain: 'a' };

/** Creates a server near the inputs that ends its call after a time. */
const createNear = (busyMs: number): ServerState => {
  const state = createServerState({ serverId: 's2', failureDomain: 'b' }, 0);
  if (busyMs > 0) {
    state.calls.set(1, busyMs);
  }
  return state;
};

/** Creates a job of ten pieces, each of which fetches 360 KB from failure domain `b`. */
const createJob = (changes: Partial<BatchJob> = {}): BatchJob => ({
  jobId: 'j',
  pieceCount: 10,
  kind: 'k',
  resultBytes: 6_000,
  inputBytes: 360_000,
  priority: 0,
  value: 1,
  progress: 0,
  dueAtMs: 2_000,
  expiresAtMs: 4_000,
  failureDomain: 'b',
  ...changes,
});

const reserves = (busyMs: number, changes: Partial<BatchJob> = {}): boolean =>
  createNearbySlots([createNear(busyMs)], SPEC, 0).reserve(createJob(changes), 10, HERE);

// Guards against results that cross failure domains once for each piece although a nearer server is free soon.
test('pieces with large inputs wait for a server in their failure domain that is free within the time of the transfer', () => {
  assert.deepEqual([reserves(0), reserves(150), reserves(250)], [true, true, false]);
});

test('pieces with small inputs are left only to a server that is free now', () => {
  assert.deepEqual([reserves(0, { inputBytes: 0 }), reserves(50, { inputBytes: 0 })], [true, false]);
});

// Guards against callers that get late answers because their pieces waited for a nearer server.
test('a job waits no longer than it can and be on time', () => {
  assert.deepEqual([reserves(150, { dueAtMs: 400 }), reserves(150, { dueAtMs: 300 })], [true, false]);
});

// Guards against free servers that idle while more pieces wait for a nearer server than its next call takes.
test('no more pieces are left to a server than its next call takes, and none in a region that is not permitted', () => {
  const slots = createNearbySlots([createNear(0)], SPEC, 0);
  const reserved = Array.from({ length: 3 }, () => slots.reserve(createJob(), 10, HERE));
  assert.deepEqual(reserved, [true, true, false]);
  assert.equal(reserves(0, { homeRegions: ['r2'] }), false);
  assert.equal(reserves(0, { resultBytes: 200_000 }), false);
  assert.equal(reserves(0, { failureDomain: 'a' }), false);
});
