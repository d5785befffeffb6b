import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RUN_RETENTION_MS, MIN_SURVIVAL_MS } from './constants.js';
import createRunHistory from './createRunHistory.js';

const SECOND_MS = 1_000;

test('counts the runs of a request after a given time once their servers have survived them', () => {
  const history = createRunHistory();
  [0, 1, 2, 3].forEach((second) => history.note('f', 's1', second * SECOND_MS));
  history.note('g', 's1', 0);
  assert.equal(history.count('f', 0, 3 * SECOND_MS), 2);
  assert.equal(history.count('f', 0, 3 * SECOND_MS + MIN_SURVIVAL_MS), 3);
  assert.equal(history.count('f', 2 * SECOND_MS, 5 * SECOND_MS), 1);
});

test('does not count an answer just before the end of its server, but counts earlier and later answers', () => {
  const history = createRunHistory();
  [0, SECOND_MS, 2 * SECOND_MS].forEach((atMs) => history.note('f', 's1', atMs));
  history.noteEnded('s1', SECOND_MS + MIN_SURVIVAL_MS - 1);
  assert.equal(history.count('f', -1, 5 * SECOND_MS), 2);
});

test('keeps the runs of a frequent request over several seconds', () => {
  const history = createRunHistory();
  for (let atMs = 0; atMs < 10 * SECOND_MS; atMs += 5) {
    history.note('f', 's1', atMs);
  }
  const count = history.count('f', 5 * SECOND_MS, 10 * SECOND_MS);
  assert.ok(count >= 12, `${count} runs`);
});

test('does not count runs that are older than the retention time', () => {
  const history = createRunHistory();
  history.note('f', 's1', 0);
  history.note('f', 's1', RUN_RETENTION_MS);
  assert.equal(history.count('f', -1, RUN_RETENTION_MS + MIN_SURVIVAL_MS), 1);
});
