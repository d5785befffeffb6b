import assert from 'node:assert/strict';
import { test } from 'node:test';
import formatFingerprint from './formatFingerprint.js';

const REQUEST = { method: 'POST', path: '/read/1', organisation: 'north', body: Buffer.from('text') };

test('the same request has the same fingerprint on every host, whatever else its headers say', () => {
  assert.equal(formatFingerprint(REQUEST), formatFingerprint({ ...REQUEST, body: Buffer.from('text') }));
  assert.match(formatFingerprint(REQUEST), /^[\w-]{22}$/);
});

test('an empty body is the same as none', () => {
  const get = { ...REQUEST, method: 'GET', body: undefined };
  assert.equal(formatFingerprint(get), formatFingerprint({ ...get, body: Buffer.alloc(0) }));
});

test('requests of other organisations, paths, methods and bodies are other requests', () => {
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
