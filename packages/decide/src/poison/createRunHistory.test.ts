import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RUN_MEMORY_MS, SURVIVAL_MS } from './constants.js';
import createRunHistory from './createRunHistory.js';

const SECOND_MS = 1_000;

test('counts the runs of a request after a time, once their servers have lived on', () => {
  const history = createRunHistory();
  [0, 1, 2, 3].forEach((second) => history.note('f', 's1', second * SECOND_MS));
  history.note('g', 's1', 0);
  assert.equal(history.count('f', 0, 3 * SECOND_MS), 2);
  assert.equal(history.count('f', 0, 3 * SECOND_MS + SURVIVAL_MS), 3);
  assert.equal(history.count('f', 2 * SECOND_MS, 5 * SECOND_MS), 1);
});

test('an answer just before the end of its server does not count, and those before and after do', () => {
  const history = createRunHistory();
  [0, SECOND_MS, 2 * SECOND_MS].forEach((atMs) => history.note('f', 's1', atMs));
  history.noteEnded('s1', SECOND_MS + SURVIVAL_MS - 1);
  assert.equal(history.count('f', -1, 5 * SECOND_MS), 2);
});

test('a request that is often sent keeps runs of the last seconds', () => {
  const history = createRunHistory();
  for (let atMs = 0; atMs < 10 * SECOND_MS; atMs += 5) {
    history.note('f', 's1', atMs);
  }
  const count = history.count('f', 5 * SECOND_MS, 10 * SECOND_MS);
  assert.ok(count >= 12, `${count} runs`);
});

test('runs are forgotten in the end', () => {
  const history = createRunHistory();
  history.note('f', 's1', 0);
  history.note('f', 's1', RUN_MEMORY_MS);
  assert.equal(history.count('f', -1, RUN_MEMORY_MS + SURVIVAL_MS), 1);
});
