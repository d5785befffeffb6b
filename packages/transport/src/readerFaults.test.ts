import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { after, before, test } from 'node:test';
import createHttpClient, { type HttpClient } from './createHttpClient.js';
import readStream, { type StreamHandlers } from './readStream.js';
import { createRawServer, type RawServer } from './testing/index.js';

const FAULT = new Error('a fault of this test');
const CHUNK_MS = 20;

const throwFault = (): never => {
  throw FAULT;
};

let server: RawServer;
let client: HttpClient;
let reported: Error[] = [];

before(async () => {
  server = await createRawServer((_, socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf');
    setTimeout(() => socket.write('half'), CHUNK_MS);
  });
  client = createHttpClient({ onFault: (error) => reported.push(error) });
});

after(() => {
  client.close();
  server.close();
});

const open = (): Promise<IncomingMessage> => {
  reported = [];
  return client.open({ address: '127.0.0.1', port: server.port }, { method: 'GET', path: '/' });
};

/** Reads a response with a handler that throws; resolves with the errors of the ends that the others were told of. */
const readFaulty = async (response: IncomingMessage, faulty: 'onData' | 'onEnd'): Promise<readonly unknown[]> => {
  const ends: unknown[] = [];
  const handlers: StreamHandlers = {
    onData: () => undefined,
    onEnd: () => ends.push('whole'),
    onBroken: (cause) => ends.push((cause as { readonly code?: unknown } | undefined)?.code),
  };
  readStream(response, { ...handlers, [faulty]: throwFault });
  await new Promise((resolve) => {
    response.once('close', resolve);
  });
  return ends;
};

const FAULTY_HANDLERS = ['onData', 'onEnd'] as const;

FAULTY_HANDLERS.forEach((faulty) =>
  test(`a fault in ${faulty} breaks the response that is read, and is reported once`, async () => {
    const other = client.send({ address: '127.0.0.1', port: server.port }, { method: 'GET', path: '/' });
    assert.deepEqual(await readFaulty(await open(), faulty), ['reader-failed']);
    assert.deepEqual(reported, [FAULT]);
    assert.equal((await other).body, 'halfhalf');
  }),
);

test('a fault in a listener of a response breaks its connection, which serves no other request', async () => {
  const response = await open();
  const { socket } = response;
  response.once('data', () => response.once('data', throwFault));
  await assert.rejects(once(response, 'end'), { code: 'reader-failed' });
  assert.ok(socket.destroyed);
  assert.deepEqual(reported, [FAULT]);
  assert.equal(
    (await client.send({ address: '127.0.0.1', port: server.port }, { method: 'GET', path: '/' })).body,
    'halfhalf',
  );
});

test('no data is handed over after the stream was destroyed, and its end is told once', async () => {
  const stream = new PassThrough();
  const seen: string[] = [];
  readStream(stream, {
    onData: (chunk) => {
      seen.push(String(chunk));
      stream.destroy();
      stream.emit('data', Buffer.from('b'));
    },
    onEnd: () => seen.push('whole'),
    onBroken: () => seen.push('broken'),
  });
  stream.write('a');
  await once(stream, 'close');
  assert.deepEqual(seen, ['a', 'broken']);
});

test('a stream that was destroyed before is told as broken at once', () => {
  const seen: string[] = [];
  const stream = new PassThrough();
  stream.destroy();
  readStream(stream, { onData: throwFault, onEnd: throwFault, onBroken: () => seen.push('broken') });
  assert.deepEqual(seen, ['broken']);
});
