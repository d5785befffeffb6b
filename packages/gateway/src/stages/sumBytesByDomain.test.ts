import assert from 'node:assert/strict';
import { test } from 'node:test';
import sumBytesByDomain from './sumBytesByDomain.js';

test('sums sizes by failure domain and skips results of unknown servers', () => {
  const stages = [
    { results: ['a1', 'b1', 'gone'], resultBytes: 10 },
    { results: ['a2'], resultBytes: 5 },
  ];
  const bytes = sumBytesByDomain(stages, (result) => (result === 'gone' ? undefined : result.slice(0, 1)));
  assert.deepEqual(
    [...bytes],
    [
      ['a', 15],
      ['b', 10],
    ],
  );
});
