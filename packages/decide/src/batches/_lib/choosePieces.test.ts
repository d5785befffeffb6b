import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { BatchJob } from '../types.js';
import choosePieces, { type CallLimits } from './choosePieces.js';
import type { WaitingPiece } from './queuedJob.js';

const createPieces = (jobId: string, pieceCount: number, resultBytes: number): readonly WaitingPiece[] => {
  const job: BatchJob = {
    jobId,
    pieceCount,
    kind: 'k',
    resultBytes,
    inputBytes: 0,
    priority: 0,
    value: 1,
    progress: 0,
    dueAtMs: 0,
    expiresAtMs: 0,
    failureDomain: 'd',
  };
  return Array.from({ length: pieceCount }, (_, piece) => ({ job, piece }));
};

const LIMITS: CallLimits = {
  maxPieces: 10,
  roomBytes: 100,
  reserveNearby: () => false,
  mayBePartial: () => false,
  isIsolated: () => false,
};

const listIds = (pieces: readonly WaitingPiece[]): string => pieces.map(({ job }) => job.jobId).join('');

test('skips a job without room for all of its pieces', () => {
  const waiting = [...createPieces('a', 3, 20), ...createPieces('b', 3, 20), ...createPieces('c', 2, 20)];
  assert.equal(listIds(choosePieces(waiting, LIMITS)), 'aaacc');
});

test('fills a call with a part of the last job at the limit of pieces', () => {
  const waiting = [...createPieces('a', 3, 1), ...createPieces('b', 3, 1)];
  assert.equal(listIds(choosePieces(waiting, { ...LIMITS, maxPieces: 4 })), 'aaab');
});

test('takes the pieces that fit from a job that may be split, and none from another job', () => {
  const waiting = createPieces('a', 3, 40);
  assert.equal(listIds(choosePieces(waiting, { ...LIMITS, mayBePartial: () => true })), 'aa');
  assert.equal(listIds(choosePieces(waiting, LIMITS)), '');
});

test('skips jobs that can start nearer to their inputs', () => {
  const waiting = [...createPieces('a', 1, 1), ...createPieces('b', 1, 1)];
  assert.equal(listIds(choosePieces(waiting, { ...LIMITS, reserveNearby: ({ jobId }) => jobId === 'a' })), 'b');
});

test('respects both limits and chooses no piece twice', () => {
  const job = fc.record({ pieces: fc.integer({ min: 1, max: 6 }), bytes: fc.integer({ min: 0, max: 60 }) });
  fc.assert(
    fc.property(fc.array(job, { maxLength: 12 }), fc.boolean(), (jobs, partial) => {
      const waiting = jobs.flatMap(({ pieces, bytes }, index) => createPieces(String(index), pieces, bytes));
      const chosen = choosePieces(waiting, { ...LIMITS, mayBePartial: () => partial });
      const bytes = chosen.reduce((sum, { job: { resultBytes } }) => sum + resultBytes, 0);
      return chosen.length <= 10 && bytes <= 100 && new Set(chosen).size === chosen.length;
    }),
  );
});

test('does not mix the pieces of an isolated job with others', () => {
  const waiting = [...createPieces('a', 2, 1), ...createPieces('b', 2, 1), ...createPieces('c', 2, 1)];
  const isIsolated = ({ jobId }: { readonly jobId: string }): boolean => jobId === 'b';
  assert.equal(listIds(choosePieces(waiting, { ...LIMITS, isIsolated })), 'aacc');
  assert.equal(listIds(choosePieces(waiting.slice(2), { ...LIMITS, isIsolated })), 'bb');
});
