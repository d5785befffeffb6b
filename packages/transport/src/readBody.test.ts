import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import readBody from './readBody.js';

test('a truncated body is an error, so that part of an answer never passes for a complete one', async () => {
  const stream = new PassThrough();
  const read = readBody(stream);
  stream.write('half');
  setImmediate(() => stream.destroy());
  await assert.rejects(read, { code: 'connection-lost' });
});

test('a character that is split across two chunks is decoded correctly', async () => {
  const stream = new PassThrough();
  const read = readBody(stream);
  const bytes = Buffer.from('é');
  stream.write(bytes.subarray(0, 1));
  stream.end(bytes.subarray(1));
  assert.equal(await read, 'é');
});

test('a body over the limit is rejected while it arrives, so that it cannot exhaust the memory', async () => {
  const stream = new PassThrough();
  const read = readBody(stream, { maxBytes: 3 });
  stream.write('four');
  await assert.rejects(read, { code: 'too-large' });
  assert.equal(stream.destroyed, true);
});
