import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BatchSpec } from '@bergamotcove/config';
import type { BatchJob } from '../types.js';
import { createServerState, type ServerState } from './serverState.js';
import pickServer from './pickServer.js';
import type { WaitingPiece } from './queuedJob.js';

const SPEC: BatchSpec = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 17,
  callMs: 200,
  pieceMs: 10,
  resultMemoryBytes: 1e9,
  keepResultMs: 4_000,
};

const JOB: BatchJob = {
  jobId: 'a',
  pieceCount: 1,
  kind: 'k',
  resultBytes: 1_500_000,
  inputBytes: 0,
  priority: 0,
  value: 1,
  progress: 0,
  dueAtMs: 1_000,
  expiresAtMs: 4_000,
  failureDomain: 'd1',
};

const createServer = (serverId: string, failureDomain: string, busyUntilMs = 0): ServerState => {
  const state = createServerState({ serverId, failureDomain }, 0);
  if (busyUntilMs > 0) {
    state.calls.set(1, busyUntilMs);
  }
  return state;
};

const createPieces = (count: number, failureDomain: string): readonly WaitingPiece[] =>
  Array.from({ length: count }, (_, piece) => ({ job: { ...JOB, failureDomain }, piece }));

const workMsOf = (pieces: readonly WaitingPiece[]): number => pieces.length * SPEC.pieceMs;
const OPTIONS = { spec: SPEC, workMsOf, nowMs: 0 };

type Pick = (candidates: readonly ServerState[], waiting: readonly WaitingPiece[], nowMs: number) => string | undefined;

const pick: Pick = (candidates, waiting, nowMs) =>
  pickServer(candidates, waiting, { ...OPTIONS, nowMs })?.server.serverId;

test('picks the busy server near the inputs for a small batch', () => {
  const servers = [createServer('far', 'd2'), createServer('near', 'd1', 100)];
  assert.equal(pick(servers, createPieces(4, 'd1'), 0), 'near');
});

test('picks a busy server rather than a free slow one that would end later', () => {
  const slow = createServer('slow', 'd1');
  slow.slowness = 6;
  assert.equal(pick([slow, createServer('sound', 'd1', 100)], createPieces(30, 'd1'), 0), 'sound');
});

test('returns undefined when no server is free', () => {
  assert.equal(pick([createServer('busy', 'd1', 100)], createPieces(1, 'd1'), 0), undefined);
});
