import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { createLinkClient, createLinkServer, type LinkClient } from '@bergamotcove/transport';
import createRateLimits, { type RateLimitsOptions } from '../limits/createRateLimits.js';
import { TAKE_SEND } from '../limits/messages.js';
import createSchedulerClient, { type SchedulerClientOptions } from '../scheduling/createSchedulerClient.js';
import { PLACE, type PlaceRequest } from '../scheduling/messages.js';
import type { HostRegistry } from './createHostRegistry.js';

const clock = createSystemClock();
const PAUSE_MS = 250;
const GRANTED = { type: 'granted', serverId: 's1', notices: [] };
const PLACED = { serverId: 's1' };

/** Keeps the loop of the process from running, like a host that stands still. */
const standStill = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

/** Stands still once the answer to the present call is written, before it is read. */
const pauseSoon = (): void => {
  setImmediate(standStill, PAUSE_MS);
};

const NEVER = new Promise(() => {
  // Never answered.
});

/** Calls of a host to the owner of its duties. */
interface Caller {
  take(): Promise<unknown>;
  place(): Promise<unknown>;
}

const createCaller = (links: LinkClient, hosts: HostRegistry): Caller => {
  const shared = { clock, logger: { event: () => undefined }, links, region: 'r', hosts };
  const limits = createRateLimits({
    ...shared,
    metrics: { report: () => undefined },
    directory: {
      find: () => ({ serverId: 's1', pool: 'p', region: 'r', startedAtMs: 1 }),
      onProcessEnded: () => undefined,
    },
    dutyOf: () => 'duty',
  } as unknown as RateLimitsOptions);
  limits.start(hosts);
  limits.noteAnswer('s1', { type: 'stated', requestsPerSecond: 2 }, clock.monotonicMs());
  const client = createSchedulerClient({ ...shared, local: {} } as unknown as SchedulerClientOptions);
  return {
    take: async () => (await limits.take({ queue: 'p', key: 'k', serverIds: ['s1'], maxWaitMs: 1_000 })).type,
    place: () => client.place('r', { requestId: 'a', pool: 'p' } as PlaceRequest),
  };
};

/** Runs calls to another host, which may stand still when it has got them; returns the hosts found silent. */
const runCalls = async (call: (caller: Caller) => Promise<void>, onCall: () => unknown): Promise<readonly string[]> => {
  const answer = (result: object) => () => onCall() ?? result;
  const methods = { [TAKE_SEND]: answer(GRANTED), [PLACE]: answer(PLACED), warm: () => true };
  const server = await createLinkServer({ address: '127.0.0.1', port: 0, methods, onError: () => undefined });
  const links = createLinkClient({ clock, connectLimitMs: 1_000, pingMs: 200, silenceLimitMs: 1_000 });
  const target = { address: '127.0.0.1', port: server.port };
  const silent: string[] = [];
  const hosts = {
    self: { hostId: 'self', region: 'r' },
    rankOwners: () => [{ hostId: 'other', region: 'r', target }],
    noteSilent: (hostId: string) => silent.push(hostId),
    onChange: () => undefined,
    list: () => [],
  } as unknown as HostRegistry;
  try {
    await links.call(target, 'warm', {});
    await call(createCaller(links, hosts));
    return silent;
  } finally {
    links.close();
    server.close();
  }
};

const expectAnswers = async ({ take, place }: Caller): Promise<void> => {
  assert.equal(await take(), 'granted');
  assert.deepEqual(await place(), PLACED);
};

test('a host whose answer came while this one stood still is not taken for silent', async () => {
  const silent = await runCalls(expectAnswers, pauseSoon);
  assert.deepEqual(silent, []);
});

// A pause of the whole machine stops the other host too.
test('a host that stood still with this one is not taken for silent', async () => {
  const standAfter = (start: () => Promise<unknown>): Promise<unknown> => {
    const answer = start();
    // The call is written when its microtasks have run.
    process.nextTick(standStill, PAUSE_MS);
    return answer;
  };
  const silent = await runCalls(
    ({ take, place }) => expectAnswers({ take: () => standAfter(take), place: () => standAfter(place) }),
    () => undefined,
  );
  assert.deepEqual(silent, []);
});

test('a host that does not answer after a pause of this one either is taken for silent', async () => {
  const silent = await runCalls(
    async ({ take, place }) => {
      assert.equal(await take(), 'later');
      assert.deepEqual(await place(), {});
    },
    () => {
      pauseSoon();
      return NEVER;
    },
  );
  assert.deepEqual(silent, ['other', 'other']);
});
