import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import readBody from './readBody.js';

test('a body that is cut is an error, so that half an answer is never taken for a whole one', async () => {
  const stream = new PassThrough();
  const read = readBody(stream);
  stream.write('half');
  setImmediate(() => stream.destroy());
  await assert.rejects(read, { code: 'connection-lost' });
});

test('a character that is split over two chunks arrives whole', async () => {
  const stream = new PassThrough();
  const read = readBody(stream);
  const bytes = Buffer.from('é');
  stream.write(bytes.subarray(0, 1));
  stream.end(bytes.subarray(1));
  assert.equal(await read, 'é');
});

test('a body over the limit is refused while it arrives, so that it cannot fill the memory', async () => {
  const stream = new PassThrough();
  const read = readBody(stream, { maxBytes: 3 });
  stream.write('four');
  await assert.rejects(read, { code: 'too-large' });
  assert.equal(stream.destroyed, true);
});
