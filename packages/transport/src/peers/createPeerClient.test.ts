import assert from 'node:assert/strict';
import { test } from 'node:test';
import createHttpClient from '../createHttpClient.js';
import { createRawServer, listBrokenHeads } from '../testing/index.js';
import createPeerClient from './createPeerClient.js';

const TIMEOUT_MS = 1_000;

/** Calls a peer that answers with the given bytes. */
const callPeer = async (answer: string): Promise<unknown> => {
  const server = await createRawServer((_, socket) => socket.end(answer, 'latin1'));
  const http = createHttpClient();
  try {
    const target = { address: '127.0.0.1', port: server.port };
    return await createPeerClient(http).call(target, 'm', {}, { timeoutMs: TIMEOUT_MS });
  } finally {
    http.close();
    server.close();
  }
};

const formatBody = (body: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

listBrokenHeads().forEach(({ name, format }) =>
  test(`a call fails when its answer has ${name}`, () =>
    assert.rejects(callPeer(format('')), { name: 'TransportError' })),
);

[
  '',
  '{',
  'null',
  '5',
  '"text"',
  '[]',
  '[null]',
  '{}',
  '{"jsonrpc":"2.0","id":999,"result":1}',
  '{"jsonrpc":"2.0","id":1}',
  '{"jsonrpc":"2.0","id":1,"error":null}',
  '{"jsonrpc":"2.0","id":1,"error":{"code":"x","message":"%s %d"}}',
].forEach((body) =>
  test(`a call fails at once when it is answered with ${body || 'nothing'}`, async () => {
    const sentAtMs = performance.now();
    await assert.rejects(callPeer(formatBody(body)), { name: 'TransportError', code: 'invalid-message' });
    assert.ok(performance.now() - sentAtMs < TIMEOUT_MS);
  }),
);

test('a call resolves to the result of its answer', async () => {
  assert.equal(await callPeer(formatBody('{"jsonrpc":"2.0","id":1,"result":5}')), 5);
});
