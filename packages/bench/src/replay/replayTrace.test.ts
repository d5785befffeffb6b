import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { ROOT_DIR } from '../deployment/paths.js';
import parseTrace from './parseTrace.js';
import replayTrace from './replayTrace.js';

const TRACES_DIR = path.join(ROOT_DIR, 'traces');
const MIN_TRACES = 10;

const files = readdirSync(TRACES_DIR).filter((file) => file.endsWith('.jsonl'));

test('there are at least ten traces, as section 13.1 requires', () => {
  assert.ok(files.length >= MIN_TRACES, `found ${files.length}`);
});

files.forEach((file) => {
  const trace = parseTrace(readFileSync(path.join(TRACES_DIR, file), 'utf8'));
  test(`trace ${file}: ${trace.header.about}`, () => {
    assert.deepEqual(replayTrace(trace).differences, []);
  });
});

test('a changed expected action is reported as a difference, so that a trace cannot pass without being compared', () => {
  const trace = parseTrace(readFileSync(path.join(TRACES_DIR, 'swapped-answer.jsonl'), 'utf8'));
  const [first, ...rest] = trace.events;
  assert.ok(first !== undefined);
  const changed = { ...trace, events: [{ ...first, actions: [{ type: 'finish' }] }, ...rest] };
  assert.equal(replayTrace(changed).differences.length, 1);
});
