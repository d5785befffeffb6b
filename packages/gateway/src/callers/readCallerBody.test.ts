import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createAnswerMemory from '../servers/createAnswerMemory.js';
import readCallerBody, { type CallerBody } from './readCallerBody.js';

/** A request whose body is written by the test. */
const createFixture = () => {
  const clock = createManualClock();
  const body = new PassThrough();
  const request = Object.assign(body, { headers: {} }) as unknown as IncomingMessage;
  const memory = createAnswerMemory({ totalBytes: 0 }).open();
  let ended: CallerBody | undefined;
  readCallerBody(request, { clock, maxBytes: 10, idleMs: 1_000, totalMs: 3_000, memory }).then((result) => {
    ended = result;
  });
  const settle = async (): Promise<CallerBody | undefined> => {
    await new Promise(setImmediate);
    return ended;
  };
  return { clock, body, settle };
};

test('reads a body that arrives in chunks', async () => {
  const { clock, body, settle } = createFixture();
  body.write('abc');
  assert.equal(await settle(), undefined);
  clock.advance(900);
  body.end('def');
  await settle();
  const read = await settle();
  assert.equal(read?.type === 'whole' && read.body.toString(), 'abcdef');
});

test('reports too-slow when no data arrives within the idle limit', async () => {
  const { clock, body, settle } = createFixture();
  body.write('abc');
  await settle();
  clock.advance(1_100);
  assert.deepEqual(await settle(), { type: 'too-slow' });
});

test('reports too-slow when a slow body is not complete within the total limit', async () => {
  const { clock, body, settle } = createFixture();
  for (let parts = 0; parts < 4; parts += 1) {
    body.write('a');
    await settle();
    clock.advance(800);
  }
  assert.deepEqual(await settle(), { type: 'too-slow' });
});

test('reports too-large for a body over the limit, and broken when the caller disconnects', async () => {
  const large = createFixture();
  large.body.write('0123456789a');
  assert.deepEqual(await large.settle(), { type: 'too-large' });
  const broken = createFixture();
  broken.body.destroy();
  await broken.settle();
  assert.deepEqual(await broken.settle(), { type: 'broken' });
});

// Guards against a host that runs out of memory because many callers send large bodies at the same time.
test('refuses a large body when the bodies of other requests have used up the memory, whether its length is stated', async () => {
  const memory = createAnswerMemory({ totalBytes: 1_000_000 });
  memory.open().reserve(900_000);
  const limits = { clock: createManualClock(), maxBytes: 4_000_000, idleMs: 1_000, totalMs: 3_000 };
  const stated = Object.assign(new PassThrough(), { headers: { 'content-length': '200000' } });
  assert.deepEqual(await readCallerBody(stated as unknown as IncomingMessage, { ...limits, memory: memory.open() }), {
    type: 'no-memory',
  });
  const chunked = Object.assign(new PassThrough(), { headers: {} });
  const share = memory.open();
  const read = readCallerBody(chunked as unknown as IncomingMessage, { ...limits, memory: share });
  chunked.write(Buffer.alloc(200_000));
  assert.deepEqual(await read, { type: 'no-memory' });
});
