import assert from 'node:assert/strict';
import { test } from 'node:test';
import createPaceFleet, { type PaceFleet, type PaceHost } from '../testing/createPaceFleet.js';
import { TAKE_SEND } from './messages.js';

const COLD_START = { durationMs: 12_000, requestsPerSecond: 12 };
/** 12 x 1.5 + 5 requests in any second. */
const ALLOWED = 23;
const NEED = { queue: 'p', key: 'k', serverIds: ['s1'] };

const createFleet = (changes: Partial<Parameters<typeof createPaceFleet>[0]> = {}): PaceFleet =>
  createPaceFleet({ hosts: 4, coldStart: COLD_START, rank: () => [0, 1], ...changes });

const putAll = ({ hosts }: PaceFleet, coldMs: number): void =>
  hosts.forEach(({ put, limits }) => {
    put('s1', { coldMs });
    // The first look at it starts its bucket.
    limits.closedUntilMs('s1');
  });

/** Lets all hosts send as much as they may; returns the times of the sends. */
const sendAll = async (
  { hosts, clock, advance }: PaceFleet,
  ms: number,
  withoutNews: readonly number[] = [],
): Promise<readonly number[]> => {
  const sentAtMs: number[] = [];
  const endMs = clock.monotonicMs() + ms;
  const send = async ({ limits }: PaceHost): Promise<void> => {
    const askedAtMs = clock.monotonicMs();
    const decision = await limits.take(NEED);
    if (decision.type === 'granted' && limits.maySend('s1', askedAtMs)) {
      sentAtMs.push(clock.monotonicMs());
    }
  };
  while (clock.monotonicMs() < endMs) {
    advance(10, withoutNews);
    // Sequential: time goes on when all hosts have asked.

    await Promise.all(hosts.map(send));
  }
  return sentAtMs;
};

const countPeak = (times: readonly number[]): number =>
  Math.max(0, ...times.map((startMs) => times.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length));

const quick = (sentAtMs: number) => ({ type: 'succeeded', sentAtMs, elapsedMs: 5, slowness: () => 1 }) as const;
const broken = { type: 'lost', sentAtMs: 0, elapsedMs: 5, slowness: () => 1 } as const;

test('two hosts that believe that they hand out the sends of a cold server stay within its bound together', async () => {
  // The parts of a partition: hosts 0 and 2 see one owner, hosts 1 and 3 another.
  const fleet = createFleet({ rank: (host) => [host % 2] });
  putAll(fleet, 12_000);
  const times = await sendAll(fleet, 6_000);
  assert.ok(countPeak(times) <= ALLOWED, `${countPeak(times)} in a second`);
  assert.ok(times.length >= 60, `${times.length} in 6 s`);
});

test('a host without news of the store for 2 s neither sends to cold servers nor hands out their sends', async () => {
  const fleet = createFleet();
  putAll(fleet, 12_000);
  const [owner, , , other] = fleet.hosts as readonly [PaceHost, PaceHost, PaceHost, PaceHost];
  fleet.advance(1_900, [0, 3]);
  assert.equal((await other.limits.take(NEED)).type, 'granted');
  fleet.advance(100, [3]);
  assert.equal((await other.limits.take(NEED)).type, 'later');
  assert.ok(other.limits.closedUntilMs('s1') > fleet.clock.monotonicMs());
  // A permission of another host does not help it.
  assert.equal(other.limits.maySend('s1', fleet.clock.monotonicMs()), false);
  fleet.advance(2_000, [0]);
  assert.equal(owner.limits.takeOwned(NEED).type, 'later');
  assert.deepEqual(await sendAll(fleet, 1_000, [0]), []);
  fleet.advance(1_000);
  assert.equal((await other.limits.take(NEED)).type, 'granted');
});

test('the rate grows with quick answers of any host, and a broken connection resets it', async () => {
  const fleet = createFleet();
  putAll(fleet, 1_000);
  fleet.advance(1_500);
  const [owner, , , other] = fleet.hosts as readonly [PaceHost, PaceHost, PaceHost, PaceHost];
  assert.equal(owner.paces.rateOf('s1'), 7);
  for (let index = 0; index < 8; index += 1) {
    other.limits.noteEnd('s1', quick(fleet.clock.monotonicMs()));
    fleet.advance(250);
  }
  // The reports arrive in later turns of the event loop.
  await new Promise(setImmediate);
  assert.equal(owner.limits.isLimited('s1'), false);
  other.limits.noteEnd('s1', broken);
  await new Promise(setImmediate);
  // One host may have lost its link; two lost the server.
  assert.equal(owner.paces.rateOf('s1'), undefined);
  fleet.hosts[2]?.limits.noteEnd('s1', broken);
  await new Promise(setImmediate);
  assert.equal(owner.paces.rateOf('s1'), 7);
});

test('servers count as cold from the end of an evacuation, whatever their entries say', () => {
  const fleet = createFleet({ hosts: 1 });
  const [{ evacuations, put, limits, paces }] = fleet.hosts as readonly [PaceHost];
  put('s1');
  put('s2', { failureDomain: 'b' });
  evacuations.put('a', { era: 1, revision: 1 });
  assert.equal(limits.isLimited('s1'), false);
  evacuations.remove('a', { era: 1, revision: 2 });
  assert.equal(limits.isLimited('s1'), true);
  assert.equal(limits.isLimited('s2'), false);
  put('s1');
  fleet.advance(11_900);
  paces.noteEnd('s1', quick(fleet.clock.monotonicMs()));
  assert.equal(paces.rateOf('s1'), 7);
});

test('a server that refused connections is cold before its entry says so, and a new process starts with the cold rate', () => {
  const { hosts, clock, advance } = createFleet({ hosts: 1 });
  const [{ put, paces }] = hosts as readonly [PaceHost];
  put('s1');
  paces.noteEnd('s1', { ...broken, type: 'unreachable' });
  advance(11_000);
  paces.noteEnd('s1', quick(clock.monotonicMs()));
  assert.equal(paces.rateOf('s1'), 7);
  put('s2');
  put('s2', { startedAtMs: 2 });
  assert.equal(paces.rateOf('s2'), 7);
});

test('a refused connection at one host makes the server cold on all of them', async () => {
  const fleet = createFleet();
  putAll(fleet, 0);
  fleet.hosts[3]?.limits.noteEnd('s1', { ...broken, type: 'unreachable' });
  await new Promise(setImmediate);
  assert.deepEqual(
    fleet.hosts.map(({ paces }) => paces.rateOf('s1')),
    [7, 7, 7, 7],
  );
  // Each message is sent once: one report, and one announcement for each other host.
  assert.equal(fleet.calls.length, 4);
});

test('a host that learns of a cold server first tells the one that hands out its sends', async () => {
  const fleet = createFleet();
  const [owner, , , other] = fleet.hosts as readonly [PaceHost, PaceHost, PaceHost, PaceHost];
  putAll(fleet, 0);
  other.put('s1', { coldMs: 8_000 });
  assert.equal((await other.limits.take(NEED)).type, 'later');
  assert.equal(owner.paces.rateOf('s1'), 7);
});

test('a host of an earlier version, which grants without counting, does not hand out sends of cold servers', async () => {
  const fleet = createFleet({ older: [0] });
  putAll(fleet, 12_000);
  const [, next, , other] = fleet.hosts as readonly [PaceHost, PaceHost, PaceHost, PaceHost];
  assert.equal((await other.limits.take(NEED)).type, 'later');
  fleet.advance(1_000);
  // The next host of the ranking finds out itself, and begins without saved sends.
  assert.equal((await other.limits.take(NEED)).type, 'later');
  fleet.advance(1_000);
  assert.equal((await other.limits.take(NEED)).type, 'granted');
  const sends = next.limits.methods['operator.listLimits']?.({}, undefined as never) as readonly { sends: number }[];
  assert.equal(sends[0]?.sends, 1);
});

test('a permission is used within its time or taken anew', () => {
  const fleet = createFleet();
  putAll(fleet, 12_000);
  const [{ limits }] = fleet.hosts as readonly [PaceHost];
  fleet.advance(1_000);
  const nowMs = fleet.clock.monotonicMs();
  assert.deepEqual(
    [nowMs, nowMs - 250, nowMs - 251, undefined].map((permittedAtMs) => limits.maySend('s1', permittedAtMs)),
    [true, true, false, false],
  );
});

test('a cold time that is too long is logged once', () => {
  const events: string[] = [];
  const fleet = createFleet({ hosts: 1, onEvent: (name) => events.push(name) });
  [1e12, 1e12, 1e12].forEach((coldMs) => putAll(fleet, coldMs));
  assert.equal(events.filter((name) => name === 'serverColdCapped').length, 1);
});

test('without cold starts nothing is limited, whatever entries say, and messages are as before', async () => {
  const fleet = createPaceFleet({ hosts: 2, rank: () => [0] });
  putAll(fleet, 12_000);
  const [, other] = fleet.hosts as readonly [PaceHost, PaceHost];
  other.limits.noteEnd('s1', broken);
  assert.equal(other.limits.isLimited('s1'), false);
  assert.equal(other.limits.maySend('s1', undefined), true);
  other.limits.noteAnswer('s1', { type: 'stated', requestsPerSecond: 2 }, 0);
  await other.limits.take(NEED);
  const asked = fleet.calls.find(({ method }) => method === TAKE_SEND);
  assert.deepEqual(Object.keys(asked?.params ?? {}).sort(), ['known', 'need']);
});
