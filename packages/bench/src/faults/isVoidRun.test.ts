import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEADLINE_MARGIN_MS } from './constants.js';
import isVoidRun from './isVoidRun.js';
import type { CellResult } from './types.js';

const LATE = 'the request ended as not-run (deadline-passed); allowed: answered';
const STARVED_MS = DEADLINE_MARGIN_MS + 1;

const makeResult = (...violations: readonly string[]): CellResult => ({
  cell: { name: 'explain/accept+slow', operation: 'explain', injections: [], allowed: ['answered'] },
  seed: 1,
  outcomes: ['not-run'],
  violations,
  durationMs: 0,
});

test('never sets a safety violation aside, whatever the machine did', () => {
  assert.equal(isVoidRun(makeResult('the call ran 2 times'), STARVED_MS), false);
  assert.equal(isVoidRun(makeResult(LATE, 'the call ran 2 times'), STARVED_MS), false);
});

test('sets lateness aside only if the process had no processor for longer than the margin of the bound', () => {
  assert.equal(isVoidRun(makeResult(LATE), STARVED_MS), true);
  assert.equal(isVoidRun(makeResult(LATE), DEADLINE_MARGIN_MS), false);
});
