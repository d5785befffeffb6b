import assert from 'node:assert/strict';
import { test } from 'node:test';
import matchesShape, { type Shape } from './matchesShape.js';

const SHAPE: Shape = { name: 'string', 'sizes?': ['number'], 'owner?': { isAlive: 'boolean' } };

test('accepts the fields that are read, whether optional ones are there or not, and any others', () => {
  [
    { name: 'a' },
    { name: 'a', sizes: [] },
    { name: 'a', sizes: [1, 2.5], owner: { isAlive: false }, added: 'later' },
  ].forEach((value) => assert.equal(matchesShape(value, SHAPE), true, JSON.stringify(value)));
});

test('refuses missing fields and values of another type', () => {
  [
    undefined,
    null,
    'a',
    [],
    {},
    { name: 5 },
    { name: null },
    { name: 'a', sizes: 5 },
    { name: 'a', sizes: ['1'] },
    { name: 'a', sizes: null },
    { name: 'a', owner: null },
    { name: 'a', owner: {} },
    { name: 'a', owner: { isAlive: 'yes' } },
  ].forEach((value) => assert.equal(matchesShape(value, SHAPE), false, JSON.stringify(value)));
});

test('accepts null as a number, because infinite numbers arrive so', () => {
  assert.equal(matchesShape(JSON.parse(JSON.stringify({ name: 'a', sizes: [Infinity] })), SHAPE), true);
});
