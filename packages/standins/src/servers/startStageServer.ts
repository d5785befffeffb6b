import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import createFaultyReplySender from '../_lib/createFaultyReplySender.js';
import findEcho from '../_lib/findEcho.js';
import applyPreExecutionFaults from '../_lib/applyPreExecutionFaults.js';
import type { JsonRoute } from '../_lib/serveJson.js';
import startFaultyServer, { type FaultyServer, type ServerControls } from '../_lib/startFaultyServer.js';
import wait from '../_lib/wait.js';
import type { ListenOptions, Observer, ServerPoint } from '../types.js';
import createLoadReport from './createLoadReport.js';
import formatLoad from './formatLoad.js';

/** Kinds of stages with a non-streaming response. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'call';

/** Options of {@link startStageServer}. */
export interface StageServerOptions {
  readonly clock: Clock;
  readonly serverId: string;
  readonly kind: StageKind;
  /** Processing time of each request. */
  readonly serviceMs: number;
  /** Whether the server itself executes each idempotency key only once and returns the stored output to retries. */
  readonly checkKeys?: boolean;
  /** Delay of the load report; 0 by default. */
  readonly loadLagMs?: number;
  /** Executions that the servers of a pool share, as the front servers of one ledger do; own ones by default. */
  readonly ledger?: Ledger;
  readonly observe?: Observer<ServerPoint>;
}

/** Numbers of executions by idempotency key, or by request id without a key; stored outputs by idempotency key. */
export interface Ledger {
  readonly executions: Map<string, number>;
  readonly outputs: Map<string, unknown>;
}

/** A running stand-in of a stage server. */
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

/** Creates an empty ledger for one server or for several servers that share it. */
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
  const storedOutput = ledger.outputs.get(executionKey);
  if (options.checkKeys === true && key !== undefined && storedOutput !== undefined) {
    return storedOutput;
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

const createStageRoute = (options: StageServerOptions, ledger: Ledger, controls: ServerControls): JsonRoute => {
  const { clock, serverId, kind } = options;
  const reply = createFaultyReplySender(clock, controls);
  return async (value, exchange) => {
    const body = bodySchema.parse(value);
    const inputText = JSON.stringify(body.input);
    const point = { serverId, kind, requestId: body.requestId, echo: findEcho(inputText) };
    await options.observe?.({ type: 'received', ...point });
    const result = await applyPreExecutionFaults(controls, exchange, { clock, inputText });
    if (result.type === 'end') {
      return result.reply;
    }
    const output = execute(ledger, options, body, readKey(exchange));
    await wait(clock, options.serviceMs);
    await options.observe?.({ type: 'executed', ...point });
    return reply({ attemptId: body.attemptId, output }, exchange);
  };
};

/**
 * Starts a stand-in of an encoder, retriever, reranker or plain service. `GET /control/executions` returns the
 * number of executions by idempotency key, with which tests check that a call ran at most once.
 * `GET /v1/status?key=` states whether a key was executed. The ledger survives a crash, because a plain service keeps
 * these records on durable storage.
 *
 * @param listen - address and port
 * @param options - clock, kind, processing time, key checks, load lag, ledger and observer
 * @returns the running stand-in
 */
export default async function startStageServer(
  listen: ListenOptions,
  options: StageServerOptions,
): Promise<StageServerStandin> {
  const ledger = options.ledger ?? createLedger();
  const loadReport = createLoadReport(options.clock, options.loadLagMs ?? 0);
  const server = await startFaultyServer(listen, {
    clock: options.clock,
    onCrash: loadReport.reset,
    createRoutes: (controls) => ({
      [`POST /v1/stages/${options.kind}`]: loadReport.track(createStageRoute(options, ledger, controls)),
      'GET /v1/status': (_, { query }) => ({ executed: ledger.executions.has(query.get('key') ?? '') }),
      'GET /load': () => formatLoad(loadReport.read(), options.clock),
      'GET /control/executions': () => Object.fromEntries(ledger.executions),
      'GET /control/counters': () => loadReport.counters(),
    }),
  });
  return { ...server, executions: () => Object.fromEntries(ledger.executions) };
}
