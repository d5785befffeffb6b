import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import createBlockSharing from './createBlockSharing.js';
import type { BlockNotice } from './messages.js';

/** Creates the sharing of one host, with a store whose calls can be made to fail. */
const createFixture = () => {
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

/** Formats the entry of a block that ends at a wall time. */
const stored = (fingerprint: string, endsAtMs: number, release?: string) => ({
  fingerprint,
  text: JSON.stringify({ decidedBy: 'h2', endsAtMs, release }),
});

const NOTICE: BlockNotice = { fingerprint: 'f', remainingMs: 1_000 };

test('writes a block under a lease that expires with it, and retries while the store is unavailable', async () => {
  const { clock, control, writes, sharing } = createFixture();
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

test('skips the write of a block that another host has written, and revokes the lease of a losing write', async () => {
  const { clock, control, writes, revoked, sharing } = createFixture();
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

test('a starting host applies the blocks of the store for their remaining time', () => {
  const { clock, blocks, sharing } = createFixture();
  const withoutEnd = { fingerprint: 'g', text: '{"decidedBy":"h2"}' };
  const lateMs = clock.wallMs() + 2 * POISON_BLOCK_MS;
  const texts = [
    stored('f', clock.wallMs() + 5_000),
    withoutEnd,
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

test('the removal of a key without a release ends no block, and the key is rewritten', async () => {
  const { clock, writes, blocks, sharing } = createFixture();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  sharing.stored.remove('f');
  assert.equal(blocks.size, 1);
  clock.advance(999);
  assert.deepEqual(writes, []);
  clock.advance(1);
  await settle();
  assert.deepEqual(writes, ['lease 59000', 'put blocks/f']);
});

test('a snapshot without the key of a block ends no block, and the key is rewritten', async () => {
  const { clock, writes, blocks, sharing } = createFixture();
  sharing.exchange.learn([{ ...NOTICE, remainingMs: 60_000 }]);
  sharing.stored.replace({ blocks: [], releases: [], isNewEra: false });
  assert.equal(blocks.size, 1);
  clock.advance(1_000);
  await settle();
  assert.deepEqual(writes, ['lease 59000', 'put blocks/f']);
});

test('a key that expires with its block is not rewritten', async () => {
  const { clock, writes, sharing } = createFixture();
  sharing.stored.put(stored('f', clock.wallMs() + 9_000));
  sharing.stored.remove('f');
  clock.advance(5_000);
  await settle();
  assert.deepEqual(writes, []);
});

test('a release removes the key and writes its own entry, and late messages do not restore the block', async () => {
  const { clock, writes, blocks, sharing } = createFixture();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  await sharing.release('f');
  assert.deepEqual(writes, [`lease ${POISON_BLOCK_MS}`, 'put releases/f', 'delete blocks/f']);
  sharing.exchange.learn([NOTICE]);
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  assert.equal(blocks.size, 0);
});

test('a release that the store does not accept ends no block', async () => {
  const { clock, control, blocks, sharing } = createFixture();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  control.failing = true;
  await assert.rejects(sharing.release('f'));
  assert.equal(blocks.size, 1);
});

test('a request that was blocked again after its release is blocked on hosts that read both entries', async () => {
  const { clock, blocks, sharing } = createFixture();
  const release = { fingerprint: 'f', text: 'r1' };
  const block = stored('f', clock.wallMs() + 60_000, 'r1');
  sharing.stored.replace({ blocks: [block], releases: [release], isNewEra: false });
  assert.equal(blocks.size, 1);
  sharing.stored.putRelease({ ...release, text: 'r2' });
  assert.equal(blocks.size, 0);
});

test('a host that was disconnected during a release ends its block when it reads the release', async () => {
  const { clock, writes, blocks, sharing } = createFixture();
  sharing.stored.put(stored('f', clock.wallMs() + 60_000));
  sharing.stored.replace({ blocks: [], releases: [{ fingerprint: 'f', text: 'r1' }], isNewEra: false });
  clock.advance(5_000);
  await settle();
  assert.deepEqual([blocks.size, writes], [0, []]);
});

test('hosts that block the same requests have the same digest', () => {
  const [one, other] = [createFixture(), createFixture()];
  assert.equal(one.sharing.exchange.digest(), other.sharing.exchange.digest());
  one.sharing.exchange.learn([NOTICE, { ...NOTICE, fingerprint: 'g' }]);
  assert.notEqual(one.sharing.exchange.digest(), other.sharing.exchange.digest());
  other.sharing.exchange.learn([{ ...NOTICE, fingerprint: 'g', remainingMs: 7 }, NOTICE]);
  assert.equal(one.sharing.exchange.digest(), other.sharing.exchange.digest());
});

test('a release that a restored copy of the store lacks stays in force, and is rewritten', async () => {
  const { clock, writes, blocks, sharing } = createFixture();
  await sharing.release('f');
  writes.length = 0;
  sharing.stored.replace({ blocks: [stored('f', clock.wallMs() + 60_000)], releases: [], isNewEra: true });
  assert.equal(blocks.size, 0);
  clock.advance(1_000);
  await settle();
  assert.deepEqual(writes, [`lease ${POISON_BLOCK_MS - 1_000}`, 'put releases/f']);
});
