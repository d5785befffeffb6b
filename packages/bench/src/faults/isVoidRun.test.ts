import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEADLINE_MARGIN_MS } from './constants.js';
import isVoidRun from './isVoidRun.js';
import type { CellResult } from './types.js';

const LATENESS_VIOLATION = 'the request ended as not-run (deadline-passed); allowed: answered';
const LONG_RUN_DELAY_MS = DEADLINE_MARGIN_MS + 1;

const makeResult = (...violations: readonly string[]): CellResult => ({
  cell: { name: 'explain/accept+slow', operation: 'explain', injections: [], allowed: ['answered'] },
  seed: 1,
  outcomes: ['not-run'],
  violations,
  durationMs: 0,
});

test('a run with a safety violation is never void, however long the run delay is', () => {
  assert.equal(isVoidRun(makeResult('the call ran 2 times'), LONG_RUN_DELAY_MS), false);
  assert.equal(isVoidRun(makeResult(LATENESS_VIOLATION, 'the call ran 2 times'), LONG_RUN_DELAY_MS), false);
});

test('a late run is void only if the run delay is longer than the margin of the deadline', () => {
  assert.equal(isVoidRun(makeResult(LATENESS_VIOLATION), LONG_RUN_DELAY_MS), true);
  assert.equal(isVoidRun(makeResult(LATENESS_VIOLATION), DEADLINE_MARGIN_MS), false);
});
