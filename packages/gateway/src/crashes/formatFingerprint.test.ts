import assert from 'node:assert/strict';
import { test } from 'node:test';
import formatFingerprint from './formatFingerprint.js';

const REQUEST = { method: 'POST', path: '/read/1', organisation: 'north', body: Buffer.from('text') };

test('requests with equal identities have the same fingerprint', () => {
  assert.equal(formatFingerprint(REQUEST), formatFingerprint({ ...REQUEST, body: Buffer.from('text') }));
  assert.match(formatFingerprint(REQUEST), /^[\w-]{22}$/);
});

test('an empty body has the fingerprint of no body', () => {
  const get = { ...REQUEST, method: 'GET', body: undefined };
  assert.equal(formatFingerprint(get), formatFingerprint({ ...get, body: Buffer.alloc(0) }));
});

test('requests that differ in organisation, path, method or body have different fingerprints', () => {
  const others = [
    REQUEST,
    { ...REQUEST, organisation: 'south' },
    { ...REQUEST, organisation: undefined },
    { ...REQUEST, path: '/read/2' },
    { ...REQUEST, method: 'PUT' },
    { ...REQUEST, body: Buffer.from('other') },
  ];
  assert.equal(new Set(others.map(formatFingerprint)).size, others.length);
});
