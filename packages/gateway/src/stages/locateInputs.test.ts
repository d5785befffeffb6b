import assert from 'node:assert/strict';
import { test } from 'node:test';
import locateInputs from './locateInputs.js';

const findDomain = (result: string): string | undefined => ({ x: 'd1', y: 'd2', z: 'd2' })[result];

test('returns the domain that holds most of the input bytes', () => {
  const inputs = [
    { region: 'r', pool: 'p', resultBytes: 100, results: ['x'] },
    { region: 'r', pool: 'q', resultBytes: 30, results: ['y', 'z'] },
  ];
  assert.deepEqual(locateInputs({ inputs, failureDomain: 'd3' }, findDomain), { failureDomain: 'd1', inputBytes: 100 });
});

test('returns the preferred domain without inputs, and for results of unknown servers', () => {
  assert.deepEqual(locateInputs({ inputs: [], failureDomain: 'd3' }, findDomain), {
    failureDomain: 'd3',
    inputBytes: 0,
  });
  const inputs = [{ region: 'r', pool: 'p', resultBytes: 10, results: ['gone'] }];
  assert.deepEqual(locateInputs({ inputs, failureDomain: 'd3' }, findDomain), { failureDomain: 'd3', inputBytes: 10 });
});
