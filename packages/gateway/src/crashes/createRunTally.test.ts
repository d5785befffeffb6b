import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { Charge } from '@bergamotcove/decide';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import createRunTally from './createRunTally.js';
import { COUNT_RUNS } from './messages.js';

const CHARGE: Charge = { fingerprint: 'f', isSpread: true, sinceMs: 0, clearingRuns: 6 };

/** A tally whose other hosts give the answers, or none. */
const createWorld = (own: number, answers: readonly (Promise<unknown> | unknown)[]) => {
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
  // It never settles.
});

test('adds up what all hosts have seen, and takes one that does not know the method for none', async () => {
  const failing = Promise.reject(new Error('no such method'));
  failing.catch(() => undefined);
  assert.equal(await createWorld(1, [2, failing, 1]).tally.count(CHARGE), 4);
});

test('asks nobody when this host has seen enough', async () => {
  const { tally, asked } = createWorld(6, [1]);
  assert.deepEqual([await tally.count(CHARGE), asked], [6, []]);
});

test('does not wait for the others when enough have answered', async () => {
  assert.equal(await createWorld(0, [NEVER, 6]).tally.count(CHARGE), 6);
});

test('counts what it has heard when the time is over', async () => {
  const { clock, tally } = createWorld(1, [NEVER, 2]);
  const counted = tally.count(CHARGE);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  clock.advance(300);
  assert.equal(await counted, 3);
});

test('tells other hosts what this one has seen, in its own time', () => {
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
