import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { createHttpClient, TransportError } from '@bergamotcove/transport';
import startStageServer, { type StageServerOptions } from './startStageServer.js';

const open = async (context: TestContext, options: Partial<StageServerOptions> = {}) => {
  const clock = createSystemClock();
  const common = { clock, serverId: 's1', kind: 'call', serviceMs: 1 } as const;
  const server = await startStageServer({ address: '127.0.0.1', port: 0 }, { ...common, ...options });
  const http = createHttpClient();
  context.after(async () => {
    http.close();
    await server.close();
  });
  const target = { address: '127.0.0.1', port: server.port };
  const call = (attemptId: string, key: string, echo = attemptId) =>
    http.send(target, {
      method: 'POST',
      path: '/v1/stages/call',
      headers: { 'idempotency-key': key },
      body: JSON.stringify({ attemptId, requestId: key, organisation: 'o', operation: 'p', input: { echo } }),
      signal: AbortSignal.timeout(1_000),
    });
  return { server, http, target, call };
};

const isCode = (code: string) => (error: unknown) => error instanceof TransportError && error.code === code;

test('executions count a request under reset-after, but none under leaving or reset-before', async (context) => {
  const { server, call, http, target } = await open(context);
  server.setFaults([{ type: 'leaving', times: 1 }]);
  const refusal = await call('a.0', 'k1');
  assert.deepEqual([refusal.status, JSON.parse(refusal.body)], [503, { executed: false, leaving: true }]);
  server.setFaults([{ type: 'reset-before', times: 1 }]);
  await assert.rejects(call('a.1', 'k1'), isCode('connection-lost'));
  assert.deepEqual(server.executions(), {});
  server.setFaults([{ type: 'reset-after', times: 1 }]);
  await assert.rejects(call('a.2', 'k1'), isCode('connection-lost'));
  assert.deepEqual(server.executions(), { k1: 1 });
  const status = await http.send(target, { method: 'GET', path: '/v1/status?key=k1' });
  assert.deepEqual(JSON.parse(status.body), { executed: true });
});

test('a server with checkKeys executes a key once and returns the stored output to a retry', async (context) => {
  const { server, call } = await open(context, { checkKeys: true });
  const first = JSON.parse((await call('a.0', 'k1')).body) as { output: unknown };
  const second = JSON.parse((await call('a.1', 'k1')).body) as { attemptId: string; output: unknown };
  assert.deepEqual([second.attemptId, second.output], ['a.1', first.output]);
  assert.deepEqual(server.executions(), { k1: 1 });
});

test('swapped responses carry the attempt id of the other request, by which callers detect them', async (context) => {
  const { server, call } = await open(context);
  server.setFaults([{ type: 'swapped', times: 2 }]);
  const [first, second] = await Promise.all([call('a.0', 'k1'), call('b.0', 'k2')]);
  assert.match(first.body, /"attemptId":"b\.0".*"echo":"b\.0"/);
  assert.match(second.body, /"attemptId":"a\.0".*"echo":"a\.0"/);
});

test('a crashed server refuses connections and restarts on the same port', async (context) => {
  const { server, call } = await open(context);
  server.setFaults([{ type: 'poison', marker: 'bad', delayMs: 100, times: 1 }]);
  await assert.rejects(call('a.0', 'k1', 'bad-input'), isCode('connection-lost'));
  await assert.rejects(call('a.1', 'k1'), isCode('not-connected'));
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  assert.equal((await call('a.2', 'k1')).status, 200);
});
