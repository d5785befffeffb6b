import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import createBlockSharing from './createBlockSharing.js';
import type { BlockNotice } from './messages.js';

/** One host with a store that may refuse calls. */
const createWorld = () => {
  const clock = createManualClock();
  const control = { failing: false, exists: false, storeLost: false };
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
    txn: async (_: unknown, [op]: readonly { readonly type: string; readonly key?: string }[]) => {
      writes.push(`put ${op?.key}`);
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
    prefix: 'blocks/',
    hostId: 'h1',
    list: () => [...blocks].map(([fingerprint, remainingMs]) => ({ fingerprint, remainingMs })),
    onLearnt: ({ fingerprint, remainingMs }: BlockNotice) => blocks.set(fingerprint, remainingMs),
    onReleased: (fingerprint) => blocks.delete(fingerprint),
    isStoreLost: () => control.storeLost,
  });
  return { clock, control, writes, revoked, blocks, sharing };
};

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
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
  sharing.stored.put('f');
  clock.advance(500);
  await settle();
  assert.deepEqual(writes, []);
  control.exists = true;
  sharing.announce({ fingerprint: 'g', remainingMs: 1_000 }, { storeDelayMs: 0 });
  clock.advance(0);
  await settle();
  assert.deepEqual(revoked, ['l1']);
});

test('a host that starts blocks what is in the store', () => {
  const { blocks, sharing } = createWorld();
  sharing.stored.replace(['f', 'g']);
  assert.deepEqual(
    [...blocks],
    [
      ['f', POISON_BLOCK_MS],
      ['g', POISON_BLOCK_MS],
    ],
  );
});

test('a key that is deleted ends its block, also on hosts that others tell of it shortly after', () => {
  const { clock, blocks, sharing } = createWorld();
  sharing.stored.put('f');
  sharing.stored.remove('f');
  sharing.exchange.learn([NOTICE]);
  assert.equal(blocks.size, 0);
  clock.advance(10_000);
  sharing.exchange.learn([NOTICE]);
  assert.equal(blocks.size, 1);
});

test('keys that lapse while the store is away end no block', () => {
  const { control, blocks, sharing } = createWorld();
  sharing.stored.put('f');
  control.storeLost = true;
  sharing.stored.replace([]);
  assert.equal(blocks.size, 1);
});

test('hosts that block the same requests have the same digest', () => {
  const [one, other] = [createWorld(), createWorld()];
  assert.equal(one.sharing.exchange.digest(), other.sharing.exchange.digest());
  one.sharing.exchange.learn([NOTICE, { ...NOTICE, fingerprint: 'g' }]);
  assert.notEqual(one.sharing.exchange.digest(), other.sharing.exchange.digest());
  other.sharing.exchange.learn([{ ...NOTICE, fingerprint: 'g', remainingMs: 7 }, NOTICE]);
  assert.equal(one.sharing.exchange.digest(), other.sharing.exchange.digest());
});
