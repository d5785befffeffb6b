import type { ServerResponse } from 'node:http';
import type { Clock, Timer } from '@bergamotcove/clock';
import serveJson, { StatusReply } from '../_lib/serveJson.js';
import type { ListenOptions, Standin } from '../types.js';
import createStoreState, { type StoreChange, type StoreState, type StoreWrite } from './createStoreState.js';
import {
  decode,
  decodeEnd,
  formatChange,
  formatEntry,
  leaseGrantSchema,
  leaseIdSchema,
  rangeRequestSchema,
  txnRequestSchema,
  watchRequestSchema,
  type WireCompare,
  type WireOp,
} from './wire.js';

const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

const header = (state: StoreState): object => ({ revision: String(state.revision()) });

const holds = (state: StoreState, compare: WireCompare): boolean => {
  const entry = state.get(decode(compare.key));
  return compare.target === 'CREATE'
    ? (entry?.createRevision ?? 0) === compare.create_revision
    : (entry?.modRevision ?? 0) === compare.mod_revision;
};

const toWrites = (op: WireOp): readonly StoreWrite[] => {
  if (op.request_put !== undefined) {
    const { key, value, lease } = op.request_put;
    return [
      { type: 'put', key: decode(key), value: decode(value), ...(lease === undefined ? {} : { leaseId: lease }) },
    ];
  }
  if (op.request_delete_range !== undefined) {
    const from = decode(op.request_delete_range.key);
    return [{ type: 'delete', from, to: decodeEnd(from, op.request_delete_range.range_end) }];
  }
  return [];
};

const readRange = (state: StoreState, body: unknown): object => {
  const request = rangeRequestSchema.parse(body);
  const from = decode(request.key);
  const entries = state.range(from, decodeEnd(from, request.range_end));
  return { header: header(state), kvs: entries.slice(0, request.limit ?? entries.length).map(formatEntry) };
};

const runTxn = (state: StoreState, body: unknown): object => {
  const request = txnRequestSchema.parse(body);
  const succeeded = request.compare.every((compare) => holds(state, compare));
  const ops = succeeded ? request.success : request.failure;
  const writes = ops.flatMap(toWrites);
  if (writes.length > 0) {
    state.write(writes);
  }
  const responses = ops.map((op) =>
    op.request_range === undefined ? {} : { response_range: readRange(state, op.request_range) },
  );
  return { header: header(state), succeeded, responses };
};

const runWatch = (state: StoreState, body: unknown, response: ServerResponse): void => {
  const { create_request: request } = watchRequestSchema.parse(body);
  const from = decode(request.key);
  const to = decodeEnd(from, request.range_end);
  const send = (changes: readonly StoreChange[], created = false): void => {
    const events = changes
      .filter((change) => {
        const key = change.type === 'put' ? change.entry.key : change.key;
        return key >= from && key < to;
      })
      .map(formatChange);
    if (created || events.length > 0) {
      response.write(`${JSON.stringify({ result: { header: header(state), created, events } })}\n`);
    }
  };
  response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
  send(request.start_revision === 0 ? [] : state.changesSince(request.start_revision), true);
  response.on(
    'close',
    state.onChange((changes) => send(changes)),
  );
};

/** Leases: keys attached to one are deleted when it lapses. */
const createLeases = (state: StoreState, clock: Clock) => {
  const leases = new Map<string, { readonly ttlMs: number; readonly timer: Timer }>();
  let nextId = 1;

  const revoke = (id: string): void => {
    leases.get(id)?.timer.close();
    leases.delete(id);
    const attached = state.range('', '\uffff').filter((entry) => entry.leaseId === id);
    if (attached.length > 0) {
      state.write(attached.map(({ key }) => ({ type: 'delete', from: key, to: `${key}\0` })));
    }
  };
  const arm = (id: string, ttlMs: number): void => {
    leases.get(id)?.timer.close();
    leases.set(id, { ttlMs, timer: clock.schedule(ttlMs, () => revoke(id)) });
  };
  return {
    revoke,
    grant: (ttlMs: number): string => {
      const id = String(nextId);
      nextId += 1;
      arm(id, ttlMs);
      return id;
    },
    keepAlive: (id: string): number => {
      const lease = leases.get(id);
      if (lease === undefined) {
        return 0;
      }
      arm(id, lease.ttlMs);
      return lease.ttlMs;
    },
    close: () => leases.forEach((lease) => lease.timer.close()),
  };
};

/**
 * Starts a stand-in of the configuration store.
 *
 * @param listen - address and port
 * @param options - clock for leases
 * @returns the running stand-in
 */
export default async function startStore(listen: ListenOptions, options: { readonly clock: Clock }): Promise<Standin> {
  const state = createStoreState();
  const leases = createLeases(state, options.clock);
  const server = await serveJson(
    {
      'POST /v3/kv/range': (body) => readRange(state, body),
      'POST /v3/kv/txn': (body) => runTxn(state, body),
      'POST /v3/watch': (body, { response }) => runWatch(state, body, response),
      'POST /v3/lease/grant': (body) => {
        const ttlSeconds = leaseGrantSchema.parse(body).TTL;
        return { ID: leases.grant(ttlSeconds * MS_PER_SECOND), TTL: String(ttlSeconds) };
      },
      'POST /v3/lease/keepalive': (body) => {
        const id = leaseIdSchema.parse(body).ID;
        return { result: { ID: id, TTL: String(leases.keepAlive(id) / MS_PER_SECOND) } };
      },
      'POST /v3/kv/lease/revoke': (body) => {
        const id = leaseIdSchema.parse(body).ID;
        leases.revoke(id);
        return id === '' ? new StatusReply(STATUS_NOT_FOUND, {}) : {};
      },
    },
    listen,
  );
  return {
    port: server.port,
    close: async () => {
      leases.close();
      server.abort();
      await server.close();
    },
  };
}
