import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type ServerResponse } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createSystemClock } from '@bergamotcove/clock';
import type { ConnectionBounds } from './_lib/ConnectionMeter.js';
import createConnectionGuard from './createConnectionGuard.js';

interface Scene {
  readonly connect: () => net.Socket;
  /** Reasons of the connections that were refused. */
  readonly reasons: string[];
  /** Requests that the parser created. */
  readonly countParsed: () => number;
  /** Paths of the requests that were run. */
  readonly run: string[];
}

const LIMITS = { headerTimeoutMs: 1_000, idleTimeoutMs: 10_000 };
const LARGE = Buffer.alloc(16_000_000, 'x');

const answerPath = (path: string, response: ServerResponse): void => {
  setTimeout(() => response.end(path.startsWith('/large') ? LARGE : path), path.startsWith('/slow') ? 300 : 0);
};

const withServer = async (bounds: Partial<ConnectionBounds>, play: (scene: Scene) => Promise<void>): Promise<void> => {
  const server = http.createServer();
  const [reasons, run, sockets]: [string[], string[], net.Socket[]] = [[], [], []];
  let parsed = 0;
  server.on('request', () => {
    parsed += 1;
  });
  createConnectionGuard(server, {
    clock: createSystemClock(),
    limits: LIMITS,
    bounds,
    onRequest: (request, response) => {
      run.push(request.url ?? '');
      request.resume();
      request.on('end', () => answerPath(request.url ?? '', response));
    },
    onRefused: ({ reason }) => reasons.push(reason),
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connect = (): net.Socket => {
    const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => undefined);
    sockets.push(socket);
    return socket;
  };
  try {
    await play({ connect, reasons, run, countParsed: () => parsed });
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close().closeAllConnections();
  }
};

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

const read = (socket: net.Socket): { readonly text: () => string } => {
  let text = '';
  socket.on('data', (bytes) => {
    text += String(bytes);
  });
  return { text: () => text };
};

// Guards against thousands of parsed requests that are held for one that is slow.
test('of the requests sent ahead of a slow one, only a few are parsed, and none is run before its turn', () =>
  withServer({}, async ({ connect, countParsed, run }) => {
    connect().write(get('/slow') + get('/a').repeat(2_000));
    await wait(150);
    assert.deepEqual(run, ['/slow']);
    assert.ok(countParsed() <= 50, `${countParsed()}`);
  }));

// Guards against a connection that is not read again, and against answers out of order.
test('a client that sends requests ahead and reads gets all answers in order, bodies included', () =>
  withServer({}, async ({ connect }) => {
    const socket = connect();
    const answers = read(socket);
    const post = (path: string, body: string): string =>
      `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    const chunked = (path: string): string =>
      `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n${'y'.repeat(0x5000)}\r\n0\r\n\r\n`;
    const paths = Array.from({ length: 300 }, (_, index) => `/n${index}`);
    const formats = [get, (path: string) => post(path, 'x'.repeat(9_000)), chunked];
    socket.write(paths.map((path, index) => formats[index % 3]?.(path)).join(''));
    while (!answers.text().includes('/n299')) {
      // Sequential: the next look comes later.

      await wait(20);
    }
    assert.deepEqual(answers.text().match(/\/n\d+/g), paths);
  }));

// Guards against answers that are held without end, and against the end of readers that are only slow.
test('a connection whose client takes nothing of an answer is closed, and one that reads slowly is not', () =>
  withServer({ stallTimeoutMs: 1_500 }, async ({ connect, reasons }) => {
    const [stalled, slow] = [connect(), connect()];
    stalled.pause().write(get('/large'));
    slow.write(get('/large'));
    let bytes = 0;
    slow.on('data', (part) => {
      bytes += part.length;
      slow.pause();
      setTimeout(() => slow.resume(), 8);
    });
    await wait(4_000);
    assert.deepEqual(reasons, ['unread-answers']);
    slow.removeAllListeners('data').on('data', (part) => {
      bytes += part.length;
    });
    slow.resume();
    await wait(500);
    assert.ok(bytes > LARGE.length, `${bytes}`);
  }));

// Guards against clients that keep all connections of a listener.
test('when all connections are taken, the one that has been idle for longest is closed for a new one', () =>
  withServer({ maxConnections: 2 }, async ({ connect, reasons }) => {
    const first = connect().resume();
    const isClosed = once(first, 'close');
    connect();
    await wait(2_500);
    const third = connect();
    const answers = read(third);
    third.write(get('/a'));
    await isClosed;
    while (answers.text() === '') {
      await wait(20);
    }
    assert.match(answers.text(), /200 OK/);
    assert.deepEqual(reasons, ['connections']);
  }));

// Guards against a sum that grows with the number of connections.
test('the connections that hold most are closed when all of them hold too much', () =>
  withServer({ maxHeldBytes: 30_000_000 }, async ({ connect, reasons }) => {
    connect().pause().write(get('/large'));
    connect().pause().write(get('/large'));
    const small = connect();
    const answers = read(small);
    await wait(1_200);
    small.write(get('/a'));
    await wait(200);
    assert.deepEqual(reasons, ['memory']);
    assert.match(answers.text(), /200 OK/);
  }));
