import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import listBrokenAnswers from '../testing/listBrokenAnswers.js';
import createOwnerCalls, { type OwnerCallsOptions } from './createOwnerCalls.js';

const OWNER = { hostId: 'owner', region: 'r', target: { address: '10.0.0.2', port: 1 } } as HostEntry;
const NOTICE = { serverId: 's1', pool: 'p', startedAtMs: 1, agoMs: 5 };

/** Asks a host that gives an answer; returns what was read, and the hosts that were reported as silent. */
const ask = async (answer: unknown) => {
  const silent: string[] = [];
  const calls = createOwnerCalls({
    clock: createManualClock(),
    links: { call: () => Promise.resolve(answer) },
    region: 'r',
    duty: { noteUnable: () => undefined },
    paces: { rateOf: () => undefined },
  } as unknown as OwnerCallsOptions);
  calls.start({
    self: { hostId: 'self' },
    noteSilent: (hostId: string) => silent.push(hostId),
  } as unknown as HostRegistry);
  return { read: await calls.ask(OWNER, { need: { queue: 'p', key: 'k', serverIds: ['s1'] }, known: [] }), silent };
};

listBrokenAnswers().forEach(({ name, answer }) =>
  test(`a host that answers with ${name} has not decided, and is not asked for a while`, async () => {
    assert.deepEqual(await ask(answer), { read: undefined, silent: ['owner'] });
  }),
);

[
  { type: 'granted', serverId: 's1', notices: [{ ...NOTICE, requestsPerSecond: 5 }] },
  { type: 'granted', serverId: 's1', notices: [], paced: true },
  { type: 'later', inMs: 20, notices: [NOTICE] },
  { type: 'not-owner' },
].forEach((answer) =>
  test(`a decision is passed on: ${answer.type}`, async () => {
    assert.deepEqual(await ask(answer), { read: answer, silent: [] });
  }),
);
