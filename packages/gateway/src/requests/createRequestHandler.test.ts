import assert from 'node:assert/strict';
import { ServerResponse, type IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import CallerExchange from '../callers/CallerExchange.js';
import createAnswerMemory from '../servers/createAnswerMemory.js';
import type { FoundOrigin } from '../streams/createStreamOrigins.js';
import createRequestHandler, { type RequestHandlerOptions } from './createRequestHandler.js';

const ORIGIN = { pool: 'p', softwareVersion: '1' };
const FACTS = { requestId: 'r1', lastEventId: '4', pieceCounts: [], pieceKey: '' };
const ROUTE = { pathPrefix: '/', timeoutMs: 9_000, kind: 'stream', resumable: true, keyless: true, pools: [ORIGIN] };
const INDEX = {
  table: { limits: { maxBodyBytes: 100, idleTimeoutMs: 5_000 } },
  routesByHost: new Map([['site.example', [ROUTE]]]),
};

/** A request that takes a stream up. Its answer never leaves, as behind an earlier answer that is not read. */
const createFixture = (permits = true) => {
  const accepted: string[] = [];
  const rejected: unknown[] = [];
  let answerRead: ((found: FoundOrigin) => void) | undefined;
  const body = new PassThrough();
  const headers = { host: 'site.example' };
  const fields = { headers, rawHeaders: [], method: 'POST', url: '/1', complete: false };
  const request = Object.assign(body, fields) as unknown as IncomingMessage;
  const response = new ServerResponse(request);
  const exchange = new CallerExchange(request, response, 0);
  const options = {
    clock: createManualClock(),
    logger: { event: () => undefined },
    metrics: { report: (_: string, __: number, tags: unknown) => rejected.push(tags) },
    format: { withheld: new Set(), readRequest: () => FACTS },
    tables: { current: () => INDEX },
    callerMemory: createAnswerMemory(),
    drain: () => undefined,
    residency: { permits: () => permits },
    directory: { list: () => [{ ...ORIGIN, state: 'live' }] },
    origins: {
      find: () =>
        new Promise<FoundOrigin>((resolve) => {
          answerRead = resolve;
        }),
    },
    onAccepted: ({ requestId }: { readonly requestId: string }) => {
      accepted.push(requestId);
      throw new Error('nothing is forwarded in this test');
    },
  };
  createRequestHandler(options as unknown as RequestHandlerOptions)(exchange);
  return { body, exchange, response, accepted, rejected, answerRead: (found: FoundOrigin) => answerRead?.(found) };
};

const settle = async (): Promise<void> => {
  await new Promise(setImmediate);
  await new Promise(setImmediate);
};

// Guards against requests that run after they were refused with a promise.
test('a request whose body is awaited when it is refused is not forwarded later, nor answered again', async () => {
  const { body, exchange, response, accepted, rejected, answerRead } = createFixture();
  body.write('b');
  await settle();
  exchange.stop('end');
  assert.deepEqual([response.statusCode, response.writableEnded], [503, true]);
  body.end('c');
  await settle();
  answerRead({ type: 'known', origin: ORIGIN, source: 'host' });
  await settle();
  assert.deepEqual([accepted, rejected, response.destroyed], [[], [], false]);
});

test('a request whose stream record is awaited when it is refused is not forwarded later', async () => {
  const found: readonly FoundOrigin[] = [
    { type: 'known', origin: ORIGIN, source: 'host' },
    { type: 'unknown', reason: 'store' },
  ];
  for (const each of found) {
    const { body, exchange, response, accepted, rejected, answerRead } = createFixture();
    body.end('b');
    // Sequential, to keep the two cases apart.
    await settle();
    exchange.stop('end');
    answerRead(each);
    await settle();
    assert.deepEqual([accepted, rejected, response.destroyed], [[], [], false]);
  }
});

test('an answer that is complete cannot be replaced or broken off', () => {
  const { exchange, response } = createFixture();
  exchange.refuse({ status: 503, reason: 'stopping' });
  exchange.refuse({ status: 404, reason: 'no-route' });
  exchange.sendHead({ status: 200, headers: [] });
  exchange.finish(Buffer.from('late'));
  exchange.abort();
  assert.deepEqual([response.statusCode, response.destroyed], [503, false]);
});

test('a stream is not taken up at servers of a region that may not serve it', async () => {
  const { body, accepted, rejected, answerRead } = createFixture(false);
  body.end('b');
  await settle();
  answerRead({ type: 'known', origin: ORIGIN, source: 'host' });
  await settle();
  assert.deepEqual([accepted, rejected], [[], [{ reason: 'origin-gone' }]]);
});
