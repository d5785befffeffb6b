import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { LEASE_MARGIN_RATIO, type EngineOrder } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { EngineReport, StoreClient } from '@bergamotcove/backends';
import { LEASE_TTL_MS } from './constants.js';
import createPoolLease from './createPoolLease.js';
import runPlanningRound from './runPlanningRound.js';
import type { EnginePort, FencedOrder, PlannedPool } from './types.js';

const KEY = '/bergamot/planner/model-serving';
const limits = { requestsPerCopy: 10, minCopies: 1, maxModelsPerEngine: 2, maxLoads: 2, prefillShare: 0 };
const logger: Logger = { event: () => undefined };

/** Creates a store with one key and its lease. */
const createLeaseStore = () => {
  let holder: { readonly leaseId: string; readonly revision: number } | undefined;
  let revision = 1;
  let leases = 0;
  const state = { loseReply: false };
  const store = {
    get: (key: string) => Promise.resolve(key === KEY && holder !== undefined ? { key } : undefined),
    grantLease: () => {
      leases += 1;
      return Promise.resolve(String(leases));
    },
    txn: (_: unknown, [op]: readonly [{ readonly leaseId: string }]) => {
      revision += 1;
      const succeeded = holder === undefined;
      holder ??= { leaseId: op.leaseId, revision };
      return state.loseReply
        ? Promise.reject(new Error('the reply was lost'))
        : Promise.resolve({ succeeded, revision: String(revision), gets: [] });
    },
    keepAlive: (leaseId: string) => Promise.resolve(holder?.leaseId === leaseId ? LEASE_TTL_MS : 0),
    revokeLease: (leaseId: string) => {
      holder = holder?.leaseId === leaseId ? undefined : holder;
      return Promise.resolve();
    },
  } as unknown as StoreClient;
  return {
    store,
    state,
    expire: () => {
      holder = undefined;
    },
  };
};

/** Creates an engine that carries out orders immediately and checks fencing numbers only if `checksFencing` is set. */
const createEngine = (checksFencing: boolean) => {
  let report: EngineReport = { models: {}, adapters: [], role: 'mixed', loading: [], openRequests: 0 };
  let highest = 0;
  const apply = (order: EngineOrder): void => {
    if (order.type === 'load-version') {
      report = { ...report, models: { ...report.models, [order.model]: order.version } };
    }
  };
  const receiveOrder = ({ fencingNumber, order }: FencedOrder) => {
    if (checksFencing && fencingNumber < highest) {
      return 'fenced' as const;
    }
    highest = Math.max(highest, fencingNumber);
    apply(order);
    return 'accepted' as const;
  };
  const port: EnginePort = {
    read: () => Promise.resolve(report),
    sendOrder: (_, order, maySend) =>
      maySend() ? Promise.resolve(receiveOrder(order)) : Promise.reject(new Error('the lease has expired')),
  };
  return { port, receiveOrder, report: () => report };
};

const pool: PlannedPool = {
  pool: 'model-serving',
  engines: [{ engineId: 'e0', target: { address: '10.0.0.1', port: 1 }, leaving: false }],
  models: [{ model: 'base', version: '2', adapters: [] }],
};

const oldOrder: EngineOrder = { type: 'load-version', model: 'base', version: '1' };

test('a host that was paused past the expiry of its lease sends no order, even before it learns of the expiry', async () => {
  const clock = createManualClock();
  const { store } = createLeaseStore();
  const engine = createEngine(false);
  const lease = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  await lease.renew();
  assert.equal(lease.isHeld(), true);
  clock.advance(LEASE_TTL_MS * (1 - LEASE_MARGIN_RATIO));
  assert.equal(lease.isHeld(), false);
  await runPlanningRound(pool, { engines: engine.port, lease, limits, logger });
  assert.deepEqual(engine.report().models, {});
});

test('an order is not sent if the lease expires between planning and sending', async () => {
  const clock = createManualClock();
  const { store } = createLeaseStore();
  const engine = createEngine(false);
  const lease = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  await lease.renew();
  const paused: EnginePort = {
    ...engine.port,
    sendOrder: (target, order, maySend) => {
      clock.advance(LEASE_TTL_MS);
      return engine.port.sendOrder(target, order, maySend);
    },
  };
  await runPlanningRound(pool, { engines: paused, lease, limits, logger });
  assert.deepEqual(engine.report().models, {});
});

test('setting the wall clock back does not extend a lease', async () => {
  const clock = createManualClock();
  const { store } = createLeaseStore();
  const lease = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  await lease.renew();
  clock.stepWall(-60_000);
  clock.advance(LEASE_TTL_MS);
  assert.equal(lease.isHeld(), false);
});

test('a lease whose grant was not confirmed is not used and is released', async () => {
  const clock = createManualClock();
  const { store, state } = createLeaseStore();
  const lease = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  state.loseReply = true;
  await assert.rejects(lease.renew());
  assert.equal(lease.isHeld(), false);
  state.loseReply = false;
  await lease.renew();
  assert.equal(lease.isHeld(), true);
});

test('a holder that was paused past the expiry of its lease acquires it again with a higher fencing number', async () => {
  const clock = createManualClock();
  const { store } = createLeaseStore();
  const lease = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  await lease.renew();
  const first = lease.fencingNumber();
  clock.advance(LEASE_TTL_MS);
  await lease.renew();
  assert.deepEqual([lease.isHeld(), lease.fencingNumber()], [false, 0]);
  await lease.renew();
  assert.ok(lease.isHeld() && lease.fencingNumber() > first);
});

test('fencing numbers increase with each holder, and a holder whose order is fenced releases its lease', async () => {
  const clock = createManualClock();
  const { store, expire } = createLeaseStore();
  const engine = createEngine(true);
  const first = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  await first.renew();
  expire();
  const second = createPoolLease({ clock, store, hostId: 'b' }, 'model-serving');
  await second.renew();
  assert.ok(second.fencingNumber() > first.fencingNumber());
  engine.receiveOrder({ fencingNumber: second.fencingNumber(), order: oldOrder });
  await runPlanningRound(pool, { engines: engine.port, lease: first, limits, logger });
  assert.deepEqual(engine.report().models, { base: '1' });
  assert.equal(first.isHeld(), false);
});

test('an engine that ignores fencing numbers and carried out a late order is corrected in the next round', async () => {
  const clock = createManualClock();
  const { store } = createLeaseStore();
  const engine = createEngine(false);
  const lease = createPoolLease({ clock, store, hostId: 'b' }, 'model-serving');
  await lease.renew();
  const options = { engines: engine.port, lease, limits, logger };
  await runPlanningRound(pool, options);
  engine.receiveOrder({ fencingNumber: 0, order: oldOrder });
  assert.deepEqual(engine.report().models, { base: '1' });
  await runPlanningRound(pool, options);
  assert.deepEqual(engine.report().models, { base: '2' });
  assert.equal(await runPlanningRound(pool, options), 0);
});

test('a round in which most engines do not answer sends no order, because the fault may be on this side', async () => {
  const clock = createManualClock();
  const { store } = createLeaseStore();
  const lease = createPoolLease({ clock, store, hostId: 'a' }, 'model-serving');
  await lease.renew();
  const engine = createEngine(false);
  const silent: EnginePort = { ...engine.port, read: () => Promise.reject(new Error('no answer')) };
  assert.equal(await runPlanningRound(pool, { engines: silent, lease, limits, logger }), 0);
});
