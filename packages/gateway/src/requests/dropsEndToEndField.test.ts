import assert from 'node:assert/strict';
import { test } from 'node:test';
import dropsEndToEndField from './dropsEndToEndField.js';

const FIELDS = new Set(['x-id']);

test('finds a field on which the message depends, in any spelling and in any of several Connection headers', () => {
  [
    'X-Id',
    'close, x-id',
    'close,X-ID ,keep-alive',
    'Content-Length',
    'content-type',
    'Content-Encoding',
    'Host',
  ].forEach((value) => assert.equal(dropsEndToEndField(['X-Id', '1', 'connection', value], FIELDS), true, value));
  assert.equal(dropsEndToEndField(['Connection', 'close', 'X-Id', '1', 'CONNECTION', 'x-id'], FIELDS), true);
});

test('permits options of the connection, and fields that concern only this connection', () => {
  ['close', 'keep-alive', 'Upgrade', 'X-Hop', '', ',', 'X-Id-2'].forEach((value) =>
    assert.equal(dropsEndToEndField(['Connection', value, 'X-Id', '1'], FIELDS), false, value),
  );
  assert.equal(dropsEndToEndField([], FIELDS), false);
});
