import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import createAnswerMemory from './createAnswerMemory.js';
import readAnswerBody, { MAX_ANSWER_BYTES } from './readAnswerBody.js';

const CHUNK = Buffer.alloc(65_536, 'x');

/** An answer whose body is written by the test; it counts as complete when it ends. */
const createAnswer = (): PassThrough & IncomingMessage => {
  const stream = Object.assign(new PassThrough({ highWaterMark: 2 * MAX_ANSWER_BYTES }), { complete: true });
  return stream as unknown as PassThrough & IncomingMessage;
};

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('a body that exceeds the size limit is abandoned and its connection closed', async () => {
  const answer = createAnswer();
  const body = readAnswerBody(answer, createAnswerMemory());
  for (let sentBytes = 0; sentBytes <= MAX_ANSWER_BYTES; sentBytes += CHUNK.length) {
    answer.write(CHUNK);
  }
  assert.deepEqual(await body, { type: 'excessive' });
  assert.ok(answer.destroyed);
});

test('endless bodies together stay within the memory budget, and a small body is still read', async () => {
  const memory = createAnswerMemory();
  const answers = Array.from({ length: 64 }, createAnswer);
  answers.forEach((answer) => readAnswerBody(answer, memory));
  for (let sentBytes = 0; sentBytes < 3 * 1_048_576; sentBytes += CHUNK.length) {
    answers.forEach((answer) => answer.write(CHUNK));
    // Lets the written chunks be read.
    await settle();
  }
  const open = answers.filter(({ destroyed }) => !destroyed).length;
  assert.ok(open <= 11, `${open} bodies of 3 MiB are held`);
  const small = createAnswer();
  const body = readAnswerBody(small, memory);
  small.end('done');
  assert.deepEqual(await body, { type: 'whole', body: Buffer.from('done') });
});

test('an answer whose connection broke before it was read resolves to undefined at once', async () => {
  const answer = createAnswer();
  answer.destroy();
  await settle();
  assert.deepEqual(await readAnswerBody(answer, createAnswerMemory()), { type: 'broken' });
});

// Guards against a host that runs out of memory because a server sends its body in one-byte chunks.
test('a body in one-byte chunks without end is abandoned after a few thousand chunks', async () => {
  const answer = createAnswer();
  const body = readAnswerBody(answer, createAnswerMemory());
  let sent = 0;
  while (!answer.destroyed && sent < 20_000) {
    answer.emit('data', Buffer.from('x'));
    sent += 1;
  }
  assert.deepEqual(await body, { type: 'fragmented' });
  assert.ok(sent < 5_000, `${sent} chunks were read`);
});

test('an exception while a body is read breaks the answer, and ends nothing else', async () => {
  const answer = createAnswer();
  answer.on('error', () => undefined);
  const reserve = (): never => {
    throw new RangeError('a fault of this test');
  };
  const body = readAnswerBody(answer, { open: () => ({ sizeBytes: 0, reserve, close: () => undefined }) });
  answer.write('x');
  assert.deepEqual(await body, { type: 'broken' });
  assert.ok(answer.destroyed);
});
