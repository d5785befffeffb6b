import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import serveJson from '../_lib/serveJson.js';
import type { ListenOptions, Standin } from '../types.js';

/** Kinds of stages that answer in one piece. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'call';

/** Options of {@link startStageServer}. */
export interface StageServerOptions {
  readonly clock: Clock;
  readonly serverId: string;
  readonly kind: StageKind;
  /** Time that each request takes. */
  readonly serviceMs: number;
}

const bodySchema = z.object({
  attemptId: z.string(),
  requestId: z.string(),
  organisation: z.string(),
  operation: z.string(),
  input: z.unknown(),
});

type StageBody = z.output<typeof bodySchema>;

const produceOutput = (kind: StageKind, serverId: string, body: StageBody): unknown => {
  switch (kind) {
    case 'encode':
      return { vector: [0.1, 0.2, 0.3], requestId: body.requestId };
    case 'retrieve':
      return { documents: ['d1', 'd2', 'd3'], requestId: body.requestId };
    case 'rerank':
      return { documents: ['d2', 'd1'], requestId: body.requestId };
    default:
      return { receipt: `${serverId}/${body.requestId}`, operation: body.operation, organisation: body.organisation };
  }
};

/**
 * Starts a stand-in of an encoder, retriever, reranker or plain service. It counts executions by idempotency key, so
 * that tests can prove that a call ran at most once: `GET /control/executions`.
 *
 * @param listen - address and port
 * @param options - kind and service time
 * @returns the running stand-in
 */
export default async function startStageServer(listen: ListenOptions, options: StageServerOptions): Promise<Standin> {
  const executions = new Map<string, number>();
  const run = async (body: unknown, exchange: HttpExchange): Promise<unknown> => {
    const parsed = bodySchema.parse(body);
    const key = exchange.request.headers['idempotency-key'];
    const executionKey = typeof key === 'string' ? key : parsed.requestId;
    executions.set(executionKey, (executions.get(executionKey) ?? 0) + 1);
    await new Promise<void>((resolve) => {
      options.clock.schedule(options.serviceMs, resolve);
    });
    return { attemptId: parsed.attemptId, output: produceOutput(options.kind, options.serverId, parsed) };
  };
  const server = await serveJson(
    {
      [`POST /v1/stages/${options.kind}`]: run,
      'GET /control/executions': () => Object.fromEntries(executions),
    },
    listen,
  );
  return { port: server.port, close: server.close };
}
