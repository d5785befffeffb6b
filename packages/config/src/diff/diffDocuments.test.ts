import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import diffDocuments from './diffDocuments.js';
import formatDifference from './formatDifference.js';

test('a stage inserted in the middle is one difference, not a change of every later stage', () => {
  const before = { stages: [{ name: 'a' }, { name: 'b' }] };
  const after = { stages: [{ name: 'a' }, { name: 'x', pool: 'p' }, { name: 'b' }] };
  assert.deepEqual(diffDocuments(before, after), [
    { type: 'added', path: 'stages.x', after: { name: 'x', pool: 'p' } },
  ]);
});

test('a changed order of stages is reported, because it changes which stage runs first', () => {
  const before = { stages: [{ name: 'a' }, { name: 'b' }] };
  const after = { stages: [{ name: 'b' }, { name: 'a' }] };
  const [difference] = diffDocuments(before, after);
  assert.equal(difference === undefined ? '' : formatDifference(difference), '~ stages: order a, b -> b, a');
});

test('two JSON values have differences exactly when their texts with sorted keys differ', () => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (before, after) => {
      const sorted = (value: unknown): string =>
        JSON.stringify(value, (_, field: unknown) =>
          typeof field === 'object' && field !== null && !Array.isArray(field)
            ? Object.fromEntries(Object.entries(field).sort(([a], [b]) => (a < b ? -1 : 1)))
            : field,
        );
      return (diffDocuments(before, after).length === 0) === (sorted(before) === sorted(after));
    }),
  );
});

test('a value has no differences from its copy', () => {
  fc.assert(fc.property(fc.jsonValue(), (value) => diffDocuments(value, structuredClone(value)).length === 0));
});
