import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { PoisonSuspect } from '@bergamotcove/decide';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import createRunTally from './createRunTally.js';
import { COUNT_RUNS } from './messages.js';

const SUSPECT: PoisonSuspect = { fingerprint: 'f', isSpread: true, sinceMs: 0, clearingRuns: 6 };

/** Creates a tally whose other hosts give these answers; a promise that never settles is a host without an answer. */
const createFixture = (own: number, answers: readonly (Promise<unknown> | unknown)[]) => {
  const clock = createManualClock();
  const asked: number[] = [];
  const list = answers.map((_, port) => ({ hostId: `h${port}`, target: { address: '10.0.0.1', port } }));
  const tally = createRunTally({
    clock,
    countRuns: () => own,
    links: {
      call: async ({ port }) => {
        asked.push(port);
        return answers[port];
      },
      notify: () => undefined,
      close: () => undefined,
    },
  });
  tally.start({ self: { hostId: 'self' }, list: () => [...list, { hostId: 'self' }] } as unknown as HostRegistry);
  return { clock, tally, asked };
};

const NEVER = new Promise(() => {
  // Never settles.
});

test('adds up the runs of all hosts, and counts none for a host that does not know the method', async () => {
  const failing = Promise.reject(new Error('no such method'));
  failing.catch(() => undefined);
  assert.equal(await createFixture(1, [2, failing, 1]).tally.count(SUSPECT), 4);
});

test('queries no other host when this host has observed enough runs', async () => {
  const { tally, asked } = createFixture(6, [1]);
  assert.deepEqual([await tally.count(SUSPECT), asked], [6, []]);
});

test('does not wait for further answers once the runs are enough', async () => {
  assert.equal(await createFixture(0, [NEVER, 6]).tally.count(SUSPECT), 6);
});

test('returns the runs counted so far when the time limit has passed', async () => {
  const { clock, tally } = createFixture(1, [NEVER, 2]);
  const counted = tally.count(SUSPECT);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  clock.advance(300);
  assert.equal(await counted, 3);
});

test('answers other hosts with its own runs, and converts the age in the query to its own clock', () => {
  const clock = createManualClock();
  const since: number[] = [];
  const tally = createRunTally({
    clock,
    countRuns: (_, sinceMs) => since.push(sinceMs),
    links: { call: async () => 0, notify: () => undefined, close: () => undefined },
  });
  clock.advance(5_000);
  const method = tally.methods[COUNT_RUNS] as (params: unknown) => unknown;
  assert.equal(method({ fingerprint: 'f', sinceAgoMs: 2_000 }), 1);
  assert.deepEqual(since, [3_000]);
});
