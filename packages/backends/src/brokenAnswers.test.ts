import assert from 'node:assert/strict';
import { test } from 'node:test';
import { lastValueFrom, toArray } from 'rxjs';
import { createHttpClient, TransportError, type HttpClient, type Target } from '@bergamotcove/transport';
import { createRawServer, listBrokenHeads } from '@bergamotcove/transport/testing';
import BackendError from './BackendError.js';
import { readEngine, sendOrder } from './engines/callEngine.js';
import fetchHostList from './hosts/fetchHostList.js';
import callServer from './servers/callServer.js';
import fetchLoad from './servers/fetchLoad.js';
import queryStatus from './servers/queryStatus.js';
import type { ServerCall } from './servers/types.js';
import createStoreClient from './store/createStoreClient.js';

const LIMIT_MS = 1_000;
const DEEP_LEVELS = 100_000;

/** Reads an answer; resolves to undefined, or rejects, when there is none. */
type Reader = (client: HttpClient, target: Target) => Promise<unknown>;

const callStage =
  (changes: Partial<ServerCall>): Reader =>
  async (client, target) => {
    const call: ServerCall = {
      target,
      kind: 'encode',
      attemptId: 'a1',
      requestId: 'r1',
      organisation: 'north',
      operation: 'explain',
      input: {},
      timeoutMs: LIMIT_MS,
      traceparent: '00-0-0-00',
      resumeTokenIndex: 0,
      priority: 'interactive',
      ...changes,
    };
    const last = (await lastValueFrom(callServer(client, call).pipe(toArray()))).at(-1);
    return last?.type === 'answer' ? last : undefined;
  };

const withStore =
  (run: (store: ReturnType<typeof createStoreClient>) => Promise<unknown>): Reader =>
  async (_, { address, port }) => {
    const store = createStoreClient({ urls: [`http://${address}:${port}`], timeoutMs: LIMIT_MS });
    try {
      return await run(store);
    } finally {
      store.close();
    }
  };

const READERS: Readonly<Record<string, Reader>> = {
  'a call of a stage': callStage({}),
  'a generation': callStage({ kind: 'generate', model: 'm' }),
  'a call that runs once': callStage({ kind: 'call', idempotencyKey: 'k' }),
  'the load of a server': (client, target) => fetchLoad(client, target, { timeoutMs: LIMIT_MS }),
  'the status of a call': (client, target) =>
    queryStatus(client, target, { key: 'k', organisation: 'north', timeoutMs: LIMIT_MS }),
  'the state of an engine': (client, target) => readEngine(client, target, { timeoutMs: LIMIT_MS }),
  'the host list': (client, { address, port }) =>
    fetchHostList(client, { url: `http://${address}:${port}/hosts`, timeoutMs: LIMIT_MS }),
  'a read of the store': withStore((store) => store.get('a')),
  'a range of the store': withStore((store) => store.range('a')),
  'a write to the store': withStore((store) => store.txn([], [])),
  'a lease of the store': withStore((store) => store.grantLease(LIMIT_MS)),
  'a renewal of a lease': withStore((store) => store.keepAlive('1')),
  'a watch of the store': withStore((store) => lastValueFrom(store.watch('a', '1').pipe(toArray()))),
};

/** Reads what a server answers; returns the error, or undefined when there was an answer. */
const read = async (reader: Reader, answer: string): Promise<unknown> => {
  const server = await createRawServer((_, socket) => socket.end(answer, 'latin1'));
  const client = createHttpClient();
  try {
    const result = await reader(client, { address: '127.0.0.1', port: server.port });
    return result === undefined ? new BackendError('invalid-answer', 'there was no answer') : undefined;
  } catch (cause) {
    return cause;
  } finally {
    client.close();
    server.close();
  }
};

const isOwnError = (error: unknown): boolean => error instanceof BackendError || error instanceof TransportError;

const formatBody = (body: string): string =>
  `HTTP/1.1 200 OK\r\nContent-Length: ${Buffer.byteLength(body, 'latin1')}\r\n\r\n${body}`;

const deep = '['.repeat(DEEP_LEVELS) + ']'.repeat(DEEP_LEVELS);
const BODIES: Readonly<Record<string, string>> = {
  'no JSON': '{',
  'an empty body': '',
  null: 'null',
  'a number': '5',
  'a list': '[null]',
  'an object without fields': '{"header":null,"kvs":5,"result":5,"ID":{},"attemptId":5,"running":"x"}',
  'very deep JSON': deep,
  'a very deep output': `{"attemptId":"a1","output":${deep}}`,
  'an object with very deep fields': `{"header":${deep},"result":${deep},"ID":${deep},"hosts":${deep},"running":${deep}}`,
};

Object.entries(READERS).forEach(([name, reader]) => {
  test(`${name} that has a broken head is no answer`, async () => {
    await Promise.all(
      listBrokenHeads().map(async ({ name: head, isInvalid, format }) => {
        const error = await read(reader, format(''));
        assert.ok(isOwnError(error) || (!isInvalid && error === undefined), `${head}: ${String(error)}`);
      }),
    );
  });

  test(`${name} that has another body is no answer`, async () => {
    await Promise.all(
      Object.entries(BODIES).map(async ([body, text]) => {
        const error = await read(reader, formatBody(text));
        assert.ok(isOwnError(error), `${body}: ${String(error)}`);
      }),
    );
  });
});

test('an order to an engine whose answer has a broken head was not accepted', async () => {
  const order = { fencingNumber: 1, order: { type: 'load-model', model: 'm' } } as const;
  const reader: Reader = (client, target) =>
    sendOrder(client, target, order, { timeoutMs: LIMIT_MS, maySend: () => true });
  await Promise.all(
    listBrokenHeads().map(async ({ name, isInvalid, format }) => {
      const error = await read(reader, format(''));
      assert.ok(error === undefined ? !isInvalid : isOwnError(error), `${name}: ${String(error)}`);
    }),
  );
});

[1, 500].forEach((levels) =>
  test(`an output of ${levels} levels is passed on`, async () => {
    const output = '['.repeat(levels) + ']'.repeat(levels);
    assert.equal(await read(callStage({}), formatBody(`{"attemptId":"a1","output":${output}}`)), undefined);
  }),
);

test('an output of 501 levels is no answer', async () => {
  const output = '['.repeat(501) + ']'.repeat(501);
  assert.ok(isOwnError(await read(callStage({}), formatBody(`{"attemptId":"a1","output":${output}}`))));
});
