import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createManualClock, createSystemClock } from '@bergamotcove/clock';
import { createHttpClient } from '@bergamotcove/transport';
import createBatch from './createBatch.js';
import startEngine, { type EngineOptions } from './startEngine.js';

const open = async (context: TestContext, options: Partial<EngineOptions> = {}) => {
  const common = { clock: createSystemClock(), serverId: 'e1', tokenMs: 1, tokensPerAnswer: 6 };
  const engine = await startEngine({ address: '127.0.0.1', port: 0 }, { ...common, ...options });
  const http = createHttpClient();
  context.after(async () => {
    http.close();
    await engine.close();
  });
  const target = { address: '127.0.0.1', port: engine.port };
  const send = (method: 'GET' | 'POST', path: string, body?: object) =>
    http.send(target, {
      method,
      path,
      headers: { 'x-attempt-id': 'r1.0' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
  const complete = async (prompt: string, extra: object = {}): Promise<string> => {
    const { body } = await send('POST', '/v1/completions', { prompt, stream: true, ...extra });
    return [...body.matchAll(/"text":"([^"]*)"/g)].map(([, text]) => text).join('');
  };
  return { engine, send, complete };
};

test('a resumed stream continues the same text, which depends only on the prompt', async (context) => {
  const { complete } = await open(context);
  const whole = await complete('{"echo":"m1"}');
  assert.equal(whole, 'm1#0 m1#1 m1#2 m1#3 m1#4 m1#5 ');
  assert.equal(await complete('{"echo":"m1"}', { resume_token_index: 4 }), 'm1#4 m1#5 ');
});

test('higher priority runs first within maxRunning, and prefill uses only the rest of the token budget', () => {
  const clock = createManualClock();
  const batch = createBatch({ clock, stepMs: 1, tokenBudget: 4, maxRunning: 1 });
  const emitted: string[] = [];
  const add = (id: string, priority: number, prefillTokens: number): void =>
    batch.add({
      id,
      priority,
      prefillTokens,
      firstTokenIndex: 0,
      tokenCount: 1,
      emit: (index) => emitted.push(`${id}${index}`),
    });
  add('draft', 3, 0);
  add('money', 0, 8);
  clock.advance(2);
  assert.deepEqual(emitted, []);
  clock.advance(2);
  assert.deepEqual(emitted, ['money0', 'money1', 'draft0', 'draft1']);
});

test('cache events are reported late and with gaps, and an export lists the cached prefix', async (context) => {
  const { send, complete } = await open(context, { cacheEventLagMs: 50, loseCacheEventEvery: 2 });
  const prompt = 'x'.repeat(64 * 4);
  await complete(prompt);
  const eventsBeforeLag = JSON.parse((await send('GET', '/cache/events?since=0')).body) as { events: unknown[] };
  await new Promise((resolve) => {
    setTimeout(resolve, 80);
  });
  const eventsAfterLag = JSON.parse((await send('GET', '/cache/events?since=0')).body) as { events: { seq: number }[] };
  assert.deepEqual([eventsBeforeLag.events.length, eventsAfterLag.events.map(({ seq }) => seq)], [0, [1, 3]]);
  const exported = JSON.parse((await send('POST', '/v1/kv/export', { prompt })).body) as { blocks: string[] };
  assert.equal(exported.blocks.length, 4);
});

test('an order with an old fencing number is rejected only when checkFencing is set', async (context) => {
  const createOrder = (fencingNumber: number) => ({
    fencingNumber,
    order: { type: 'load-model', model: `m${fencingNumber}` },
  });
  const checking = await open(context, { checkFencing: true });
  await checking.send('POST', '/orders', createOrder(5));
  assert.equal((await checking.send('POST', '/orders', createOrder(4))).status, 409);
  const unchecked = await open(context);
  await unchecked.send('POST', '/orders', createOrder(5));
  assert.equal((await unchecked.send('POST', '/orders', createOrder(4))).status, 200);
  const state = JSON.parse((await unchecked.send('GET', '/orders/state')).body) as { models: object };
  assert.deepEqual(state.models, { m5: '1', m4: '1' });
});
