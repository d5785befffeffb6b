import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import createBlockSharing from './createBlockSharing.js';
import type { BlockNotice } from './messages.js';

/** One host with a store that may refuse calls. */
const createWorld = () => {
  const clock = createManualClock();
  const control = { failing: false, exists: false };
  const writes: string[] = [];
  const revoked: string[] = [];
  const blocks = new Map<string, number>();
  let leases = 0;
  const store = {
    grantLease: async (ttlMs: number) => {
      if (control.failing) {
        throw new Error('down');
      }
      leases += 1;
      writes.push(`lease ${ttlMs}`);
      return `l${leases}`;
    },
    txn: async (_: unknown, ops: readonly { readonly type: string; readonly key?: string }[]) => {
      writes.push(...ops.map(({ type, key }) => `${type} ${key}`));
      return { succeeded: !control.exists, revision: '1', gets: [] };
    },
    revokeLease: async (leaseId: string) => {
      revoked.push(leaseId);
    },
  };
  const sharing = createBlockSharing({
    clock,
    store,
    logger: { event: () => undefined },
    links: { call: async () => true, notify: () => undefined, close: () => undefined },
    prefixes: { blocks: 'blocks/', releases: 'releases/' },
    random: () => 0.5,
    hostId: 'h1',
    list: () => [...blocks].map(([fingerprint, remainingMs]) => ({ fingerprint, remainingMs })),
    onLearnt: ({ fingerprint, remainingMs }: BlockNotice) => blocks.set(fingerprint, remainingMs),
    onReleased: (fingerprint) => blocks.delete(fingerprint),
  });
  return { clock, control, writes, revoked, blocks, sharing };
};

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Entry of a block that ends at a wall time. */
const stored = (fingerprint: string, endsAtMs: number, release?: string) => ({
  fingerprint,
  text: JSON.stringify({ decidedBy: 'h2', endsAtMs, release }),
});

const NOTICE: BlockNotice = { fingerprint: 'f', remainingMs: 1_000 };

test('writes a block under a lease that ends with it, and tries again while the store is away', async () => {
  const { clock, control, writes, sharing } = createWorld();
  control.failing = true;
  sharing.announce({ ...NOTICE, remainingMs: 10_000 }, { storeDelayMs: 0 });
  clock.advance(0);
  await settle();
  assert.deepEqual(writes, []);
  control.failing = false;
  clock.advance(999);
  assert.deepEqual(writes, []);
  clock.advance(1);
  await settle();
  assert.deepEqual(writes, ['lease 9000', 'put blocks/f']);
});

test('writes nothing that another host has written by then, and gives up the lease of a write that came second', async () => {
  const { clock, control, writes, revoked, sharing } = createWorld();
  sharing.announce(NOTICE, { storeDelayMs: 500 });
  sharing.stored.put(stored('f', 60_000));
  clock.advance(500);
  await settle();
  assert.deepEqual(writes, []);
  control.exists = true;
  sharing.announce({ fingerprint: 'g', remainingMs: 1_000 }, { storeDelayMs: 0 });
  clock.advance(0);
  await settle();
  assert.deepEqual(revoked, ['l1']);
});

test('a host that starts blocks what is in the store, for as long as it holds', () => {
  const { clock, blocks, sharing } = createWorld();
  const earlier = { fingerprint: 'g', text: '{"decidedBy":"h2"}' };
  const lateMs = clock.wallMs() + 2 * POISON_BLOCK_MS;
  const texts = [
    stored('f', clock.wallMs() + 5_000),
    earlier,
    stored('late', lateMs),
    stored('over', clock.wallMs() - 1),
  ];
  sharing.stored.replace({ blocks: texts, releases: [], isNewEra: false });
  assert.deepEqual(
    [...blocks],
    [
      ['f', 5_000],
      ['g', POISON_BLOCK_MS],
      ['late', POISON_BLOCK_MS],
    ],
  );
});

test('a key that is missing without a release ends no block, and is written again', async () => {
  const { clock, writes, blocks, sharing } = createWorld();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  sharing.stored.remove('f');
  assert.equal(blocks.size, 1);
  clock.advance(999);
  assert.deepEqual(writes, []);
  clock.advance(1);
  await settle();
  assert.deepEqual(writes, ['lease 59000', 'put blocks/f']);
});

test('a snapshot without the key of a block ends no block either', async () => {
  const { clock, writes, blocks, sharing } = createWorld();
  sharing.exchange.learn([{ ...NOTICE, remainingMs: 60_000 }]);
  sharing.stored.replace({ blocks: [], releases: [], isNewEra: false });
  assert.equal(blocks.size, 1);
  clock.advance(1_000);
  await settle();
  assert.deepEqual(writes, ['lease 59000', 'put blocks/f']);
});

test('a key that ends with its block is not written again', async () => {
  const { clock, writes, sharing } = createWorld();
  sharing.stored.put(stored('f', clock.wallMs() + 9_000));
  sharing.stored.remove('f');
  clock.advance(5_000);
  await settle();
  assert.deepEqual(writes, []);
});

test('a release removes the key and leaves word, and what other hosts still tell of the block does not bring it back', async () => {
  const { clock, writes, blocks, sharing } = createWorld();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  await sharing.release('f');
  assert.deepEqual(writes, [`lease ${POISON_BLOCK_MS}`, 'put releases/f', 'delete blocks/f']);
  sharing.exchange.learn([NOTICE]);
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  assert.equal(blocks.size, 0);
});

test('a release that the store does not take ends no block', async () => {
  const { clock, control, blocks, sharing } = createWorld();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  control.failing = true;
  await assert.rejects(sharing.release('f'));
  assert.equal(blocks.size, 1);
});

test('a request that is blocked again after its release stays blocked on hosts that read both', async () => {
  const { clock, blocks, sharing } = createWorld();
  const release = { fingerprint: 'f', text: 'r1' };
  const block = stored('f', clock.wallMs() + 60_000, 'r1');
  sharing.stored.replace({ blocks: [block], releases: [release], isNewEra: false });
  assert.equal(blocks.size, 1);
  sharing.stored.putRelease({ ...release, text: 'r2' });
  assert.equal(blocks.size, 0);
});

test('a host that was cut off during a release ends its block when it reads the word', async () => {
  const { clock, writes, blocks, sharing } = createWorld();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  sharing.stored.replace({ blocks: [], releases: [{ fingerprint: 'f', text: 'r1' }], isNewEra: false });
  clock.advance(5_000);
  await settle();
  assert.deepEqual([blocks.size, writes], [0, []]);
});

test('hosts that block the same requests have the same digest', () => {
  const [one, other] = [createWorld(), createWorld()];
  assert.equal(one.sharing.exchange.digest(), other.sharing.exchange.digest());
  one.sharing.exchange.learn([NOTICE, { ...NOTICE, fingerprint: 'g' }]);
  assert.notEqual(one.sharing.exchange.digest(), other.sharing.exchange.digest());
  other.sharing.exchange.learn([{ ...NOTICE, fingerprint: 'g', remainingMs: 7 }, NOTICE]);
  assert.equal(one.sharing.exchange.digest(), other.sharing.exchange.digest());
});

test('a release that the store lost with an older copy holds, and is written again', async () => {
  const { clock, writes, blocks, sharing } = createWorld();
  await sharing.release('f');
  writes.length = 0;
  sharing.stored.replace({ blocks: [stored('f', clock.wallMs() + 60_000)], releases: [], isNewEra: true });
  assert.equal(blocks.size, 0);
  clock.advance(1_000);
  await settle();
  assert.deepEqual(writes, [`lease ${POISON_BLOCK_MS - 1_000}`, 'put releases/f']);
});
