import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { packMessage } from '../packMessage.js';
import listBrokenAnswers from '../testing/listBrokenAnswers.js';
import createHostExchange, { type HostExchangeOptions } from './createHostExchange.js';
import type { HostRegistry } from './createHostRegistry.js';

/** Longer than one interval of the exchange, and shorter than two. */
const INTERVAL_MS = 1_500;
const SELF = { hostId: 'self', target: { address: '10.0.0.1', port: 1 } };
const OTHER = { hostId: 'other', target: { address: '10.0.0.2', port: 1 } };
const HOSTS = { self: SELF, list: () => [SELF, OTHER], replace: () => undefined } as unknown as HostRegistry;

/** Runs one exchange with a host that gives an answer; returns the log events and what was applied. */
const exchange = async (answer: unknown) => {
  const clock = createManualClock();
  const events: string[] = [];
  const applied: string[] = [];
  const note = (part: string) => () => {
    applied.push(part);
  };
  const options = {
    clock,
    logger: { event: (name: string) => events.push(name) },
    links: { call: () => Promise.resolve(answer) },
    tables: { stored: () => undefined, current: () => undefined, offer: note('table') },
    directory: { position: { era: 1, revision: 5 }, replace: note('servers') },
    evacuations: { snapshot: () => ({ era: 1, revision: 5, domains: [] }), replace: note('evacuations') },
    blocks: { digest: () => '', learn: (notices: readonly unknown[]) => notices.forEach(note('block')) },
    origins: { agreedText: undefined, putAgreed: note('origins') },
    eras: { observe: () => undefined },
    random: () => 0.5,
  };
  const exchanging = createHostExchange(options as unknown as HostExchangeOptions);
  exchanging.start(HOSTS);
  clock.advance(INTERVAL_MS);
  await new Promise(setImmediate);
  exchanging.close();
  return { events, applied };
};

listBrokenAnswers().forEach(({ name, answer }) =>
  test(`an answer that is ${name} changes nothing`, async () => {
    const { events, applied } = await exchange(answer);
    assert.deepEqual(applied, []);
    assert.ok(events.every((event) => event === 'peerMessageInvalid'));
  }),
);

test('an answer that cannot be read is logged', async () => {
  assert.deepEqual((await exchange(null)).events, ['peerMessageInvalid']);
  assert.deepEqual((await exchange(packMessage({ servers: 5 }))).events, ['peerMessageInvalid']);
});

test('an answer with newer state is applied', async () => {
  const state = {
    table: { text: '{}', revision: 6 },
    servers: { servers: [{ serverId: 's1', text: '{}', revision: 6 }], revision: 6, era: 1 },
    agreedOrigins: '{}',
    evacuations: { era: 1, revision: 6, domains: ['a'] },
    blocks: [{ fingerprint: 'f', remainingMs: 10 }],
  };
  const { events, applied } = await exchange(packMessage(state));
  assert.deepEqual(applied, ['table', 'evacuations', 'origins', 'servers', 'block']);
  assert.deepEqual(events, ['serversLearnt']);
});
