import assert from 'node:assert/strict';
import { test } from 'node:test';
import comparePositions from './comparePositions.js';

test('a position of a later era comes after every revision of an earlier era', () => {
  assert.ok(comparePositions({ era: 2, revision: 1 }, { era: 1, revision: 900 }) > 0);
  assert.ok(comparePositions({ era: 1, revision: 900 }, { era: 2, revision: 1 }) < 0);
  assert.ok(comparePositions({ era: 2, revision: 3 }, { era: 2, revision: 4 }) < 0);
  assert.equal(comparePositions({ era: 2, revision: 3 }, { era: 2, revision: 3 }), 0);
});
