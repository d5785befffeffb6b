import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import serveJson, { StatusReply, type JsonRoute } from '../_lib/serveJson.js';
import wait from '../_lib/wait.js';
import type { ListenOptions, Observer, Standin, StorePoint } from '../types.js';
import createTokenBucket from './createTokenBucket.js';
import createLeases, { type Leases } from './createLeases.js';
import createStoreState, { type StoreState } from './createStoreState.js';
import runTxn, { listWrittenKeys, readRange } from './runTxn.js';
import runWatch from './runWatch.js';
import createStoreFaults, { storeFaultsSchema, type StoreFaultInput, type StoreFaults } from './storeFaults.js';
import { leaseGrantSchema, leaseIdSchema, rangeRequestSchema, txnRequestSchema } from './wire.js';

/** Options of {@link startStore}. */
export interface StoreOptions {
  readonly clock: Clock;
  /** Rate limit; calls above it are rejected with status 429 and without effect. Unlimited by default. */
  readonly callsPerSecond?: number;
  readonly observe?: Observer<StorePoint>;
}

/** A running stand-in of the configuration store. */
export interface StoreStandin extends Standin {
  setFaults(faults: readonly StoreFaultInput[]): void;
  /** Number of calls so far by kind. */
  counters(): Readonly<Record<string, number>>;
}

const MS_PER_SECOND = 1_000;
const STATUS_TOO_MANY = 429;
const STATUS_NOT_FOUND = 404;

interface StoreContext {
  readonly options: StoreOptions;
  readonly state: StoreState;
  readonly leases: Leases;
  readonly faults: StoreFaults;
  readonly counters: Map<string, number>;
  readonly bucket: { take(): boolean };
}

/** Creates the route of a call: counts the call, applies the rate limit and the faults, and calls the observer. */
const createCallRoute = (
  context: StoreContext,
  call: string,
  run: (body: unknown, exchange: HttpExchange) => unknown,
  listWrites: (body: unknown) => readonly string[] = () => [],
): JsonRoute => {
  const { options, faults, counters, bucket } = context;
  return async (body, exchange) => {
    counters.set(call, (counters.get(call) ?? 0) + 1);
    const writtenKeys = listWrites(body);
    await options.observe?.({ type: 'before', call, writtenKeys });
    if (!bucket.take()) {
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

const createLeaseRoutes = (context: StoreContext): Record<string, JsonRoute> => ({
  'POST /v3/lease/grant': createCallRoute(context, 'lease-grant', (body) => {
    const ttlSeconds = leaseGrantSchema.parse(body).TTL;
    return { ID: context.leases.grant(ttlSeconds * MS_PER_SECOND), TTL: String(ttlSeconds) };
  }),
  'POST /v3/lease/keepalive': createCallRoute(context, 'lease-keepalive', (body) => {
    const id = leaseIdSchema.parse(body).ID;
    return { result: { ID: id, TTL: String(context.leases.keepAlive(id) / MS_PER_SECOND) } };
  }),
  'POST /v3/kv/lease/revoke': createCallRoute(context, 'lease-revoke', (body) =>
    context.leases.revoke(leaseIdSchema.parse(body).ID) ? {} : new StatusReply(STATUS_NOT_FOUND, {}),
  ),
});

const createKeyRoutes = (context: StoreContext): Record<string, JsonRoute> => {
  const { state, faults } = context;
  return {
    'POST /v3/kv/range': createCallRoute(context, 'range', (body) => {
      const stale = faults.take('stale-reads', []) === undefined ? undefined : faults.staleView();
      return readRange(stale ?? state, rangeRequestSchema.parse(body));
    }),
    'POST /v3/kv/txn': createCallRoute(
      context,
      'txn',
      (body) => {
        const request = txnRequestSchema.parse(body);
        const discardWrites = faults.take('lost-writes', listWrittenKeys(request)) !== undefined;
        return runTxn(state, request, { discardWrites });
      },
      (body) => listWrittenKeys(txnRequestSchema.parse(body)),
    ),
    'POST /v3/watch': createCallRoute(context, 'watch', (body, { response }) => {
      runWatch(state, body, response);
      return undefined;
    }),
  };
};

/**
 * Starts a stand-in of the configuration store. `POST /control/faults` sets its faults, `GET /control/counters`
 * returns the number of calls by kind; an open watch counts as one call. Setting a `down` fault without
 * `writePrefix` aborts all open connections, watches included.
 *
 * @param listen - address and port
 * @param options - clock for leases and delays, rate limit, observer
 * @returns the running stand-in
 */
export default async function startStore(listen: ListenOptions, options: StoreOptions): Promise<StoreStandin> {
  const state = createStoreState();
  const leases = createLeases(state, options.clock);
  const faults = createStoreFaults();
  const counters = new Map<string, number>();
  const bucket = createTokenBucket(options.clock, options.callsPerSecond);
  const context: StoreContext = { options, state, leases, faults, counters, bucket };
  let abortConnections: () => void = () => undefined;
  const setFaults = (input: unknown): void => {
    const parsed = storeFaultsSchema.parse(input).faults;
    faults.set(parsed, () => state.snapshot());
    if (parsed.some((fault) => fault.type === 'down' && fault.writePrefix === undefined)) {
      abortConnections();
    }
  };
  const server = await serveJson(
    {
      ...createKeyRoutes(context),
      ...createLeaseRoutes(context),
      'GET /control/counters': () => Object.fromEntries(counters),
      'GET /control/faults': () => ({ faults: faults.list() }),
      'POST /control/faults': (body, exchange) => {
        exchange.response.end('{}');
        setFaults(body);
      },
    },
    listen,
  );
  abortConnections = server.abort;
  return {
    port: server.port,
    setFaults: (inputs) => setFaults({ faults: inputs }),
    counters: () => Object.fromEntries(counters),
    close: async () => {
      leases.close();
      server.abort();
      await server.close();
    },
  };
}
