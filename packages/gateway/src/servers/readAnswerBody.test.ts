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
  assert.equal(await body, undefined);
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
  assert.equal((await body)?.toString(), 'done');
});

test('an answer whose connection broke before it was read resolves to undefined at once', async () => {
  const answer = createAnswer();
  answer.destroy();
  await settle();
  assert.equal(await readAnswerBody(answer, createAnswerMemory()), undefined);
});
