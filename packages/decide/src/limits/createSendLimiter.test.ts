import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createSendLimiter from './createSendLimiter.js';
import type { SendNeed } from './types.js';

const NEED: SendNeed = { queue: 'p', key: 'k', serverIds: ['s1'] };

/** Times at which a server is handed out when it is asked for each millisecond. */
const takeAll = (requestsPerSecond: number, durationMs: number): readonly number[] => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', requestsPerSecond, 0);
  return Array.from({ length: durationMs }, (_, nowMs) => nowMs).filter(
    (nowMs) => limiter.take(NEED, nowMs).type === 'granted',
  );
};

test('a limit of a fraction, of 0 or of many requests is used in full and not exceeded', () => {
  assert.equal(takeAll(0.5, 20_001).length, 10);
  assert.equal(takeAll(5.5, 20_001).length, 110);
  assert.equal(takeAll(200, 5_001).length, 1_000);
  assert.deepEqual(takeAll(0, 20_001), [10_000, 20_000]);
});

test('a new limit hands out nothing for the first interval, and little is saved up without requests', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 2, 0);
  assert.deepEqual(limiter.take(NEED, 400), { type: 'later', atMs: 500 });
  assert.equal(limiter.take(NEED, 60_000).type, 'granted');
  assert.equal(limiter.take(NEED, 60_000).type, 'later');
});

test('a limit that changes all the time never gives a burst', () => {
  const limiter = createSendLimiter();
  let sends = 0;
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 1) {
    if (nowMs % 100 === 0) {
      limiter.setLimit('s1', nowMs % 200 === 0 ? 1 : 3, nowMs);
    }
    sends += limiter.take(NEED, nowMs).type === 'granted' ? 1 : 0;
  }
  assert.ok(sends >= 18 && sends <= 21, `${sends} sends in 10 s at 2 a second on average`);
});

test('few of the hosts that are denied are told the same time', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 10, 0);
  const times = Array.from({ length: 40 }, (_, host) => limiter.take({ ...NEED, key: `k${host}` }, 0)).map(
    (decision) => (decision.type === 'later' ? decision.atMs : 0),
  );
  const within = (ms: number): number => times.filter((atMs) => atMs < ms).length;
  assert.equal(within(200), 2);
  assert.ok(within(1_100) <= 21);
});

test('the first of the servers that has room is handed out', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 1, 0);
  limiter.setLimit('s2', 2, 0);
  const need = { ...NEED, serverIds: ['s1', 's2'] };
  assert.deepEqual(limiter.take(need, 500), { type: 'granted', serverId: 's2' });
  assert.deepEqual(limiter.take(need, 1_000), { type: 'granted', serverId: 's1' });
});

test('a request that waits gets a slot that no later one takes', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 2, 0);
  const wait = (key: string, nowMs: number) => limiter.take({ ...NEED, key, maxWaitMs: 2_000 }, nowMs);
  assert.deepEqual(wait('a', 0), { type: 'later', atMs: 500 });
  assert.deepEqual(wait('b', 0), { type: 'later', atMs: 1_000 });
  assert.deepEqual(wait('a', 100), { type: 'later', atMs: 500 });
  assert.equal(limiter.take({ ...NEED, key: 'c' }, 500).type, 'later');
  assert.equal(wait('a', 510).type, 'granted');
  assert.equal(wait('b', 1_000).type, 'granted');
});

test('a caller that comes back as told is served ahead of those that wait, and nothing idles for one that does not', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 2, 0);
  const ask = (key: string, nowMs: number) => limiter.take({ ...NEED, key, maxWaitMs: 1_000 }, nowMs);
  assert.deepEqual(ask('a', 0), { type: 'later', atMs: 500 });
  assert.deepEqual(ask('b', 0), { type: 'later', atMs: 1_000 });
  assert.deepEqual(ask('c', 0), { type: 'later', atMs: 1_500 });
  assert.deepEqual(ask('d', 0), { type: 'later', atMs: 2_000 });
  assert.equal(ask('a', 500).type, 'granted');
  assert.equal(ask('b', 1_000).type, 'granted');
  assert.deepEqual(ask('e', 1_100), { type: 'later', atMs: 2_000 });
  assert.equal(ask('c', 1_500).type, 'granted');
  assert.equal(ask('e', 2_000).type, 'granted');
});

test('a caller that came back as told does not lose its send to a request that asks first, which gets the next one', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 2, 0);
  const ask = (key: string, nowMs: number) => limiter.take({ ...NEED, key, maxWaitMs: 1_000 }, nowMs);
  ['a', 'b', 'back'].forEach((key) => ask(key, 0));
  assert.deepEqual([ask('a', 500).type, ask('b', 1_000).type], ['granted', 'granted']);
  assert.deepEqual(ask('other', 1_100), { type: 'later', atMs: 1_750 });
  assert.deepEqual(ask('back', 1_400), { type: 'later', atMs: 1_500 });
  assert.deepEqual(ask('other', 1_750), { type: 'later', atMs: 2_250 });
  assert.equal(ask('back', 1_760).type, 'granted');
  assert.equal(ask('other', 2_250).type, 'granted');
});

test('a request whose send is gone when its slot comes gets the next one, not a slot behind all others', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 2, 0);
  const ask = (key: string, nowMs: number) => limiter.take({ ...NEED, key, maxWaitMs: 1_000 }, nowMs);
  ['a', 'b', 'told'].forEach((key) => ask(key, 0));
  assert.deepEqual([ask('a', 500).type, ask('b', 1_000).type], ['granted', 'granted']);
  assert.deepEqual(ask('c', 1_100), { type: 'later', atMs: 1_750 });
  assert.deepEqual(ask('d', 1_110), { type: 'later', atMs: 2_250 });
  assert.equal(ask('newcomer', 1_500).type, 'granted');
  assert.deepEqual(ask('c', 1_750), { type: 'later', atMs: 2_000 });
  assert.equal(ask('c', 2_000).type, 'granted');
});

test('a slot that is not used is handed out again', () => {
  const limiter = createSendLimiter();
  limiter.setLimit('s1', 2, 0);
  limiter.take({ ...NEED, key: 'a', maxWaitMs: 2_000 }, 0);
  assert.equal(limiter.take({ ...NEED, key: 'b' }, 700).type, 'later');
  assert.equal(limiter.take({ ...NEED, key: 'b' }, 801).type, 'granted');
});

test('no span of 4 s has more sends than 4 s of the highest rate and one burst', () => {
  const step = fc.record({
    elapsedMs: fc.integer({ min: 0, max: 400 }),
    requestsPerSecond: fc.option(fc.double({ min: 0, max: 12, noNaN: true }), { freq: 8, nil: undefined }),
    key: fc.constantFrom('a', 'b', 'c', 'd'),
    maxWaitMs: fc.option(fc.integer({ min: 0, max: 1_000 }), { nil: undefined }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 300 }), (steps) => {
      const limiter = createSendLimiter();
      const sends: number[] = [];
      let nowMs = 0;
      limiter.setLimit('s1', 12, 0);
      steps.forEach(({ elapsedMs, requestsPerSecond, key, maxWaitMs }) => {
        nowMs += elapsedMs;
        if (requestsPerSecond !== undefined) {
          limiter.setLimit('s1', requestsPerSecond, nowMs);
        }
        if (
          limiter.take({ ...NEED, key, ...(maxWaitMs === undefined ? {} : { maxWaitMs }) }, nowMs).type === 'granted'
        ) {
          sends.push(nowMs);
        }
      });
      return sends.every((atMs) => sends.filter((each) => each >= atMs && each <= atMs + 4_000).length <= 52);
    }),
  );
});
