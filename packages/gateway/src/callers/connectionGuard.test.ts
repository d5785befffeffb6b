import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createSystemClock } from '@bergamotcove/clock';
import type { ConnectionRefusal } from '@bergamotcove/transport';
import createAnswerMemory from '../servers/createAnswerMemory.js';
import createCallerServer, { type CallerServer } from './createCallerServer.js';
import type CallerExchange from './CallerExchange.js';
import readCallerBody from './readCallerBody.js';

const LIMITS = { maxHeaderBytes: 8_000, maxBodyBytes: 10_000, headerTimeoutMs: 200, idleTimeoutMs: 1_500 };
const ANSWER_MS = 1_000;
const GARBAGE = '\0garbage\r\n\r\n';

interface Client {
  readonly socket: net.Socket;
  readonly received: () => string;
  readonly isClosed: () => boolean;
}

interface Scene {
  readonly server: CallerServer;
  readonly connect: () => Promise<Client>;
  /** Paths of the requests whose body was read, in order. */
  readonly run: string[];
  readonly refusals: ConnectionRefusal[];
  readonly notAdmitted: () => number;
}

const clock = createSystemClock();

const get = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nHost: site.example\r\n${headers}\r\n`;

/** Keeps the loop of the process from running, like a host that stands still. */
const standStill = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

/** Larger than what the buffers of a connection hold. */
const LARGE = Buffer.alloc(12_000_000, 'x');

/** Answers with the path, at once or, for paths below /late, after a while; paths below /large have a large answer. */
const serve = async (exchange: CallerExchange, run: string[]): Promise<void> => {
  const path = exchange.request.url ?? '';
  const memory = createAnswerMemory().open();
  const limits = { clock, maxBytes: LIMITS.maxBodyBytes, idleMs: LIMITS.idleTimeoutMs, totalMs: 5_000, memory };
  const read = await readCallerBody(exchange.request, limits);
  if (read.type === 'invalid') {
    exchange.refuse({ status: 400, reason: 'bad-request' });
  }
  if (read.type === 'too-slow') {
    exchange.refuse({ status: 408, reason: 'body-too-slow' });
  }
  if (read.type !== 'whole') {
    return;
  }
  run.push(path);
  await wait(path.startsWith('/late') ? ANSWER_MS : 0);
  const body = path.startsWith('/large') ? LARGE : Buffer.from(path);
  exchange.sendHead({ status: 200, headers: ['Content-Length', String(body.length)] });
  exchange.finish(body);
};

const withServer = async (play: (scene: Scene) => Promise<void>): Promise<void> => {
  const run: string[] = [];
  const refusals: ConnectionRefusal[] = [];
  const clients: net.Socket[] = [];
  let notAdmitted = 0;
  const server = await createCallerServer({
    address: '127.0.0.1',
    port: 0,
    clock,
    onWait: () => undefined,
    onError: () => undefined,
    onRequest: (exchange) => {
      serve(exchange, run).catch(() => undefined);
    },
    onRefused: (refusal) => refusals.push(refusal),
    onNotAdmitted: () => {
      notAdmitted += 1;
    },
  });
  server.setLimits(LIMITS);
  const connect = async (): Promise<Client> => {
    const socket = net.connect({ port: server.port, host: '127.0.0.1', allowHalfOpen: true });
    let received = '';
    let closed = false;
    socket.on('data', (data) => {
      received += String(data);
    });
    socket.on('error', () => undefined);
    socket.on('end', () => {
      closed = true;
    });
    clients.push(socket);
    await wait(30);
    return { socket, received: () => received, isClosed: () => closed };
  };
  try {
    await play({ server, connect, run, refusals, notAdmitted: () => notAdmitted });
  } finally {
    clients.forEach((socket) => socket.destroy());
    server.close();
  }
};

const statusesOf = (client: Client): string[] =>
  [...client.received().matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status = '']) => status);

test('whole requests that wait unread after a standstill are served, not refused by a timer that runs first', () =>
  withServer(async ({ connect, run }) => {
    const clients = await Promise.all(['/1', '/2', '/3'].map(() => connect()));
    clients.forEach(({ socket }, index) => socket.write(get(`/${index}`)));
    standStill(1_800);
    await wait(300);
    assert.deepEqual(clients.map(statusesOf), [['200'], ['200'], ['200']]);
    assert.deepEqual([...run].sort(), ['/0', '/1', '/2']);
  }));

test('a head whose second part waits unread after a standstill is served', () =>
  withServer(async ({ connect }) => {
    const client = await connect();
    client.socket.write(get('/a').slice(0, 20));
    await wait(60);
    client.socket.write(get('/a').slice(20));
    standStill(900);
    await wait(300);
    assert.deepEqual(statusesOf(client), ['200']);
  }));

test('a body whose rest waits unread after a standstill over its idle limit is read', () =>
  withServer(async ({ connect, run }) => {
    const client = await connect();
    client.socket.write(`${get('/a', 'Content-Length: 2\r\n').replace('GET', 'POST')}x`);
    await wait(100);
    client.socket.write('x');
    standStill(1_800);
    await wait(300);
    assert.deepEqual([statusesOf(client), run], [['200'], ['/a']]);
  }));

test('a connection that is silent for longer than the limit for heads is served, and closed at the idle limit', () =>
  withServer(async ({ connect, refusals }) => {
    const [client, silent] = [await connect(), await connect()];
    await wait(900);
    client.socket.write(get('/a'));
    await wait(100);
    assert.deepEqual(statusesOf(client), ['200']);
    await wait(1_300);
    assert.deepEqual([silent.received(), silent.isClosed()], ['', true]);
    assert.deepEqual(
      refusals.map(({ reason, status, carried }) => [reason, status, carried]),
      [['no-request', undefined, 'nothing']],
    );
  }));

test('a head that is completed after its refusal never runs, also if the client keeps its side open', () =>
  withServer(async ({ connect, run, refusals }) => {
    const client = await connect();
    client.socket.write(get('/a', 'Expect: 100-continue\r\n').slice(0, 20));
    await wait(500);
    assert.deepEqual(statusesOf(client), ['408']);
    client.socket.write(get('/a', 'Expect: 100-continue\r\n').slice(20) + get('/b'));
    await wait(200);
    assert.deepEqual([run, statusesOf(client)], [[], ['408']]);
    assert.deepEqual(
      refusals.map(({ reason, status, carried, headBytes }) => [reason, status, carried, headBytes]),
      [['head-timeout', 408, 'part-of-head', 20]],
    );
  }));

test('the first bytes of a next request do not put another answer in place of that of the request in flight', () =>
  withServer(async ({ connect, run, refusals }) => {
    const client = await connect();
    client.socket.write(get('/late'));
    await wait(60);
    client.socket.write('GET /ne');
    await wait(800);
    client.socket.write('xt HTTP/1.1\r\nHost: site.example\r\n\r\n');
    await wait(400);
    assert.match(client.received(), /^HTTP\/1\.1 200 [^]*\/late$/);
    assert.deepEqual([run, client.isClosed()], [['/late'], true]);
    assert.deepEqual(
      refusals.map(({ status, carried, openRequests }) => [status, carried, openRequests]),
      [[undefined, 'request', 1]],
    );
  }));

for (const [name, bytes] of [
  ['garbage', GARBAGE],
  ['an oversized head', `GET / HTTP/1.1\r\nX: ${'x'.repeat(70_000)}`],
] as const) {
  test(`${name} behind requests in flight does not put another answer in place of theirs`, () =>
    withServer(async ({ connect, run }) => {
      const client = await connect();
      client.socket.write(get('/late/1') + get('/late/2') + bytes);
      await wait(100);
      client.socket.write(GARBAGE);
      await wait(2 * ANSWER_MS + 300);
      assert.match(client.received(), /^HTTP\/1\.1 200 [^]*\/late\/1HTTP\/1\.1 200 [^]*\/late\/2$/);
      assert.deepEqual([run, client.isClosed()], [['/late/1', '/late/2'], true]);
    }));
}

test('a refused connection is answered once and closed, also if the client keeps its side open', () =>
  withServer(async ({ connect, run }) => {
    const clients = [await connect(), await connect()];
    [GARBAGE, 'GET /'].forEach((bytes, index) => clients[index]?.socket.write(bytes));
    await wait(500);
    assert.deepEqual(clients.map(statusesOf), [['400'], ['408']]);
    await wait(800);
    // The first write is answered with a reset, at which the second one fails.
    for (const bytes of ['a HTTP/1.1\r\n', '\r\n']) {
      clients.forEach(({ socket }) => socket.write(bytes));
      await wait(50);
    }
    assert.deepEqual(
      clients.map(({ socket }) => socket.destroyed),
      [true, true],
    );
    assert.deepEqual([clients.map(statusesOf), run], [[['400'], ['408']], []]);
  }));

test('garbage in the body of a request ends this request with 400, behind the answers that are owed before it', () =>
  withServer(async ({ connect, run }) => {
    const client = await connect();
    const post = get('/b', 'Transfer-Encoding: chunked\r\n').replace('GET', 'POST');
    client.socket.write(`${get('/late')}${post}1\r\nx\r\n`);
    await wait(50);
    client.socket.write(GARBAGE);
    await wait(ANSWER_MS + 300);
    assert.match(client.received(), /^HTTP\/1\.1 200 [^]*\/lateHTTP\/1\.1 400 [^]*bad-request/);
    assert.deepEqual([run, client.isClosed()], [['/late'], true]);
  }));

test('at a drain, an answer does not close the connection while a later request of it has none', () =>
  withServer(async ({ connect, server }) => {
    const client = await connect();
    client.socket.write(get('/late/1'));
    await wait(200);
    client.socket.write(get('/late/2'));
    await wait(100);
    server.drain();
    await wait(2 * ANSWER_MS + 300);
    assert.match(client.received(), /^[^]*\/late\/1HTTP\/1\.1 200 [^]*Connection: close[^]*\/late\/2$/);
    assert.equal(client.isClosed(), true);
  }));

test('at a drain after a standstill, a connection whose next request waits unread is not closed', () =>
  withServer(async ({ connect, server }) => {
    const client = await connect();
    client.socket.write(get('/a'));
    await wait(100);
    client.socket.write(get('/b'));
    standStill(100);
    server.drain();
    await wait(100);
    assert.match(client.received(), /^[^]*\/aHTTP\/1\.1 200 [^]*Connection: close[^]*\/b$/);
  }));

test('at a drain after a standstill, a head of which a part waits unread is served, and its connection closed', () =>
  withServer(async ({ connect, server }) => {
    const client = await connect();
    client.socket.write(get('/a'));
    await wait(100);
    client.socket.write(get('/b').slice(0, 9));
    standStill(100);
    server.drain();
    await wait(50);
    client.socket.write(get('/b').slice(9));
    await wait(100);
    assert.match(client.received(), /^[^]*\/aHTTP\/1\.1 200 [^]*Connection: close[^]*\/b$/);
  }));

test('a client that leaves ends all its pipelined requests, also the ones whose turn to be answered has not come', () =>
  withServer(async ({ connect, server }) => {
    const client = await connect();
    client.socket.write(get('/late/1') + get('/late/2'));
    await wait(100);
    client.socket.destroy();
    await wait(100);
    assert.equal(server.openRequests(), 0);
  }));

test('at a drain, answers that wait for their caller to read are not cut', () =>
  withServer(async ({ connect, server }) => {
    const client = await connect();
    client.socket.pause();
    client.socket.write(get('/large') + get('/late'));
    await wait(100);
    server.drain();
    await wait(50);
    client.socket.resume();
    await wait(ANSWER_MS + 500);
    assert.deepEqual(statusesOf(client), ['200', '200']);
    assert.ok(client.received().length > LARGE.length);
  }));

test('a client that leaves with a part of a head behind its request ends the request', () =>
  withServer(async ({ connect, server }) => {
    const client = await connect();
    client.socket.write(get('/late') + get('/b').slice(0, 9));
    await wait(100);
    client.socket.destroy();
    await wait(100);
    assert.equal(server.openRequests(), 0);
  }));

test('a body that comes after the answer to its head is not taken for the head of another request', () =>
  withServer(async ({ connect, refusals }) => {
    const client = await connect();
    client.socket.write(`POST /a HTTP/1.1\r\nHost: site.example\r\nExpect: other\r\nContent-Length: 5\r\n\r\n`);
    await wait(50);
    client.socket.write('12345');
    await wait(2 * LIMITS.headerTimeoutMs + 100);
    assert.deepEqual([statusesOf(client), refusals], [['417'], []]);
  }));
