import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import createFaultyReply from '../_lib/createFaultyReply.js';
import findEcho from '../_lib/findEcho.js';
import refuseBefore from '../_lib/refuseBefore.js';
import type { JsonRoute } from '../_lib/serveJson.js';
import startFaultyServer, { type FaultyServer, type ServerControls } from '../_lib/startFaultyServer.js';
import wait from '../_lib/wait.js';
import type { ListenOptions, Observe, ServerPoint } from '../types.js';
import createLoadReport from './createLoadReport.js';
import formatLoad from './formatLoad.js';

/** Kinds of stages that answer in one piece. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'call';

/** Options of {@link startStageServer}. */
export interface StageServerOptions {
  readonly clock: Clock;
  readonly serverId: string;
  readonly kind: StageKind;
  /** Time that each request takes. */
  readonly serviceMs: number;
  /** Whether the server itself runs each idempotency key only once. */
  readonly checkKeys?: boolean;
  /** Delay of the load report; none by default. */
  readonly loadLagMs?: number;
  /** State that the servers of one pool share, as a ledger with several front servers does. */
  readonly ledger?: Ledger;
  readonly observe?: Observe<ServerPoint>;
}

/** Executions by idempotency key, or by request where there is no key. */
export interface Ledger {
  readonly executions: Map<string, number>;
  readonly outputs: Map<string, unknown>;
}

/** A running stage server. */
export interface StageServerStandin extends FaultyServer {
  executions(): Readonly<Record<string, number>>;
}

const bodySchema = z.object({
  attemptId: z.string(),
  requestId: z.string(),
  organisation: z.string(),
  operation: z.string(),
  input: z.unknown(),
});

type StageBody = z.output<typeof bodySchema>;

/** Creates the executions of one server or of the servers that share a ledger. */
export const createLedger = (): Ledger => ({ executions: new Map(), outputs: new Map() });

const produceOutput = (kind: StageKind, serverId: string, body: StageBody): object => {
  const echo = findEcho(JSON.stringify(body.input));
  const { requestId } = body;
  switch (kind) {
    case 'encode':
      return { vector: [0.1, 0.2, 0.3], requestId, echo };
    case 'retrieve':
      return { documents: ['d1', 'd2', 'd3'], requestId, echo };
    case 'rerank':
      return { documents: ['d2', 'd1'], requestId, echo };
    default:
      return { receipt: `${serverId}/${requestId}`, operation: body.operation, organisation: body.organisation, echo };
  }
};

const execute = (ledger: Ledger, options: StageServerOptions, body: StageBody, key: string | undefined): unknown => {
  const executionKey = key ?? body.requestId;
  const earlier = ledger.outputs.get(executionKey);
  if (options.checkKeys === true && key !== undefined && earlier !== undefined) {
    return earlier;
  }
  ledger.executions.set(executionKey, (ledger.executions.get(executionKey) ?? 0) + 1);
  const output = produceOutput(options.kind, options.serverId, body);
  if (key !== undefined) {
    ledger.outputs.set(key, output);
  }
  return output;
};

const readKey = (exchange: HttpExchange): string | undefined => {
  const header = exchange.request.headers['idempotency-key'];
  return typeof header === 'string' ? header : undefined;
};

const createRun = (options: StageServerOptions, ledger: Ledger, controls: ServerControls): JsonRoute => {
  const { clock, serverId, kind } = options;
  const reply = createFaultyReply(clock, controls);
  return async (value, exchange) => {
    const body = bodySchema.parse(value);
    const inputText = JSON.stringify(body.input);
    const point = { serverId, kind, requestId: body.requestId, echo: findEcho(inputText) };
    await options.observe?.({ type: 'received', ...point });
    const refusal = await refuseBefore(controls, exchange, { clock, inputText });
    if (refusal.type === 'end') {
      return refusal.reply;
    }
    const output = execute(ledger, options, body, readKey(exchange));
    await wait(clock, options.serviceMs);
    await options.observe?.({ type: 'executed', ...point });
    return reply({ attemptId: body.attemptId, output }, exchange);
  };
};

/**
 * Starts a stand-in of an encoder, retriever, reranker or plain service. It counts executions by idempotency key, so
 * that tests can prove that a call ran at most once: `GET /control/executions`. `GET /v1/status?key=` tells whether a
 * key was executed. A crash loses nothing of the ledger, because a plain service keeps its books on durable storage.
 *
 * @param listen - address and port
 * @param options - kind, service time, key checks
 * @returns the running stand-in
 */
export default async function startStageServer(
  listen: ListenOptions,
  options: StageServerOptions,
): Promise<StageServerStandin> {
  const ledger = options.ledger ?? createLedger();
  const load = createLoadReport(options.clock, options.loadLagMs ?? 0);
  const server = await startFaultyServer(listen, {
    clock: options.clock,
    onCrash: load.reset,
    createRoutes: (controls) => ({
      [`POST /v1/stages/${options.kind}`]: load.track(createRun(options, ledger, controls)),
      'GET /v1/status': (_, { query }) => ({ executed: ledger.executions.has(query.get('key') ?? '') }),
      'GET /load': () => formatLoad(load.read(), options.clock),
      'GET /control/executions': () => Object.fromEntries(ledger.executions),
      'GET /control/counters': () => load.counters(),
    }),
  });
  return { ...server, executions: () => Object.fromEntries(ledger.executions) };
}
