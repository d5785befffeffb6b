import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import serveJson, { StatusReply, type JsonRoute } from '../_lib/serveJson.js';
import wait from '../_lib/wait.js';
import type { ListenOptions, Observe, Standin, StorePoint } from '../types.js';
import createCallBudget from './createCallBudget.js';
import createLeases, { type Leases } from './createLeases.js';
import createStoreState, { type StoreState } from './createStoreState.js';
import runTxn, { listWrittenKeys, readRange } from './runTxn.js';
import runWatch from './runWatch.js';
import createStoreFaults, { storeFaultsSchema, type StoreFaultInput, type StoreFaults } from './storeFaults.js';
import { leaseGrantSchema, leaseIdSchema, rangeRequestSchema, txnRequestSchema } from './wire.js';

/** Options of {@link startStore}. */
export interface StoreOptions {
  readonly clock: Clock;
  /** Calls per second over which calls are rejected with status 429 and no effect. */
  readonly callsPerSecond?: number;
  readonly observe?: Observe<StorePoint>;
}

/** A running store. */
export interface StoreStandin extends Standin {
  setFaults(faults: readonly StoreFaultInput[]): void;
  /** Calls so far by kind. */
  counters(): Readonly<Record<string, number>>;
}

const MS_PER_SECOND = 1_000;
const STATUS_TOO_MANY = 429;
const STATUS_NOT_FOUND = 404;

interface Parts {
  readonly options: StoreOptions;
  readonly state: StoreState;
  readonly leases: Leases;
  readonly faults: StoreFaults;
  readonly counters: Map<string, number>;
  readonly budget: { take(): boolean };
}

/** Counts a call, applies the faults around it and tells the observer. */
const guardCall = (
  parts: Parts,
  call: string,
  run: (body: unknown, exchange: HttpExchange) => unknown,
  listWrites: (body: unknown) => readonly string[] = () => [],
): JsonRoute => {
  const { options, faults, counters, budget } = parts;
  return async (body, exchange) => {
    counters.set(call, (counters.get(call) ?? 0) + 1);
    const writtenKeys = listWrites(body);
    await options.observe?.({ type: 'before', call, writtenKeys });
    if (!budget.take()) {
      return new StatusReply(STATUS_TOO_MANY, { error: 'over the call budget' });
    }
    const slow = faults.take('slow', writtenKeys);
    if (slow !== undefined) {
      await wait(options.clock, slow.delayMs);
    }
    if (faults.take('down', writtenKeys) !== undefined) {
      exchange.request.socket.destroy();
      return undefined;
    }
    const reply = run(body, exchange);
    await options.observe?.({ type: 'after', call, writtenKeys });
    if (faults.take('reply-lost', writtenKeys) !== undefined) {
      exchange.request.socket.destroy();
      return undefined;
    }
    return reply;
  };
};

const createLeaseRoutes = (parts: Parts): Record<string, JsonRoute> => ({
  'POST /v3/lease/grant': guardCall(parts, 'lease-grant', (body) => {
    const ttlSeconds = leaseGrantSchema.parse(body).TTL;
    return { ID: parts.leases.grant(ttlSeconds * MS_PER_SECOND), TTL: String(ttlSeconds) };
  }),
  'POST /v3/lease/keepalive': guardCall(parts, 'lease-keepalive', (body) => {
    const id = leaseIdSchema.parse(body).ID;
    return { result: { ID: id, TTL: String(parts.leases.keepAlive(id) / MS_PER_SECOND) } };
  }),
  'POST /v3/kv/lease/revoke': guardCall(parts, 'lease-revoke', (body) =>
    parts.leases.revoke(leaseIdSchema.parse(body).ID) ? {} : new StatusReply(STATUS_NOT_FOUND, {}),
  ),
});

const createKeyRoutes = (parts: Parts): Record<string, JsonRoute> => {
  const { state, faults } = parts;
  return {
    'POST /v3/kv/range': guardCall(parts, 'range', (body) => {
      const stale = faults.take('stale-reads', []) === undefined ? undefined : faults.staleView();
      return readRange(stale ?? state, rangeRequestSchema.parse(body));
    }),
    'POST /v3/kv/txn': guardCall(
      parts,
      'txn',
      (body) => {
        const request = txnRequestSchema.parse(body);
        const loseWrites = faults.take('lost-writes', listWrittenKeys(request)) !== undefined;
        return runTxn(state, request, { loseWrites });
      },
      (body) => listWrittenKeys(txnRequestSchema.parse(body)),
    ),
    'POST /v3/watch': guardCall(parts, 'watch', (body, { response }) => {
      runWatch(state, body, response);
      return undefined;
    }),
  };
};

/**
 * Starts a stand-in of the configuration store. `POST /control/faults` sets its faults, `GET /control/counters`
 * gives the calls by kind; a waiting watch counts as one call. While it is down, open watches are cut.
 *
 * @param listen - address and port
 * @param options - clock for leases, call budget, observer
 * @returns the running stand-in
 */
export default async function startStore(listen: ListenOptions, options: StoreOptions): Promise<StoreStandin> {
  const state = createStoreState();
  const leases = createLeases(state, options.clock);
  const faults = createStoreFaults();
  const counters = new Map<string, number>();
  const budget = createCallBudget(options.clock, options.callsPerSecond);
  const parts: Parts = { options, state, leases, faults, counters, budget };
  let cutWatches: () => void = () => undefined;
  const setFaults = (orders: unknown): void => {
    const parsed = storeFaultsSchema.parse(orders).faults;
    faults.set(parsed, () => state.freeze());
    if (parsed.some((fault) => fault.type === 'down' && fault.writePrefix === undefined)) {
      cutWatches();
    }
  };
  const server = await serveJson(
    {
      ...createKeyRoutes(parts),
      ...createLeaseRoutes(parts),
      'GET /control/counters': () => Object.fromEntries(counters),
      'GET /control/faults': () => ({ faults: faults.list() }),
      'POST /control/faults': (body, exchange) => {
        exchange.response.end('{}');
        setFaults(body);
      },
    },
    listen,
  );
  cutWatches = server.abort;
  return {
    port: server.port,
    setFaults: (orders) => setFaults({ faults: orders }),
    counters: () => Object.fromEntries(counters),
    close: async () => {
      leases.close();
      server.abort();
      await server.close();
    },
  };
}
