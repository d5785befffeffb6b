import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import { createHttpClient, type HttpClient } from '@bergamotcove/transport';
import findEcho from '../_lib/findEcho.js';
import applyPreExecutionFaults from '../_lib/applyPreExecutionFaults.js';
import { StatusReply, type JsonRoute } from '../_lib/serveJson.js';
import startFaultyServer, { type FaultyServer, type ServerControls } from '../_lib/startFaultyServer.js';
import wait from '../_lib/wait.js';
import { findLaggedSample, type LoadSample } from '../servers/createLoadReport.js';
import formatLoad from '../servers/formatLoad.js';
import type { ListenOptions, Observer, ServerPoint } from '../types.js';
import createBatch, { type Batch } from './createBatch.js';
import createCacheEventLog from './createCacheEventLog.js';
import createOrderExecutor, { type OrderExecutor } from './createOrderExecutor.js';
import createPrefixCache, { BLOCK_CHARS, hashBlocks, type PrefixCache } from './createPrefixCache.js';
import streamCompletion, { type CompletionRequest } from './streamCompletion.js';

/** Options of {@link startEngine}. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly serverId: string;
  /** Duration of a batch step, which decodes one token for each sequence in progress. */
  readonly tokenMs: number;
  /** Number of tokens of a response; an input field `outputTokens` overrides it. */
  readonly tokensPerAnswer: number;
  readonly tokenBudget?: number;
  readonly maxRunning?: number;
  /** Capacity of the prefix cache. */
  readonly cacheBlocks?: number;
  readonly cacheEventLagMs?: number;
  /** Every n-th cache event is lost; 0 or undefined loses none. */
  readonly loseCacheEventEvery?: number;
  readonly loadLagMs?: number;
  readonly checkFencing?: boolean;
  /** Versions of the loaded models by name; any model is accepted when empty. */
  readonly models?: Readonly<Record<string, string>>;
  /** Address of the weight store; without one, weights load immediately. */
  readonly weightStore?: { readonly address: string; readonly port: number };
  readonly observe?: Observer<ServerPoint>;
}

/** A running engine. */
export interface EngineStandin extends FaultyServer {
  /** Number of generations started by request id; a resumed stream counts as another one. */
  executions(): Readonly<Record<string, number>>;
}

const DEFAULT_TOKEN_BUDGET = 512;
const DEFAULT_MAX_RUNNING = 64;
const DEFAULT_CACHE_BLOCKS = 4_096;
const MS_PER_SECOND = 1_000;
const LOAD_SAMPLE_MS = 50;
const MAX_LOAD_SAMPLES = 600;
const STATUS_UNAVAILABLE = 503;
const STATUS_TOO_MANY = 429;
const CHARS_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = BLOCK_CHARS / CHARS_PER_TOKEN;

const bodySchema = z.object({
  model: z.string().optional(),
  prompt: z.string(),
  stream: z.literal(true),
  priority: z.string().optional(),
  resume_token_index: z.int().min(0).default(0),
});
const cancelSchema = z.object({ id: z.string() });
const exportSchema = z.object({ prompt: z.string() });
const importSchema = z.object({ blocks: z.array(z.string()) });

/** Size of the KV cache of one block, from which the size of an export is computed. */
const BLOCK_BYTES = 2_097_152;

const createWeightsFetcher =
  (options: EngineOptions, http: HttpClient) =>
  async (name: string): Promise<void> => {
    if (options.weightStore === undefined) {
      return;
    }
    const request = { method: 'GET', path: `/v1/weights?name=${encodeURIComponent(name)}` } as const;
    for (;;) {
      const response = await http.send(options.weightStore, request);
      if (response.status !== STATUS_TOO_MANY) {
        return;
      }
      const { retryAfterMs } = JSON.parse(response.body) as { readonly retryAfterMs: number };
      await wait(options.clock, retryAfterMs);
    }
  };

/** Keeps samples of the load, so that load reports can lag by `loadLagMs`. */
const createLoadSampler = (options: EngineOptions, batch: Batch) => {
  const { clock } = options;
  const samples = [{ ...batch.load(), atMs: clock.monotonicMs() }];
  return {
    sample: (): void => {
      if (clock.monotonicMs() - (samples.at(-1)?.atMs ?? 0) >= LOAD_SAMPLE_MS || options.loadLagMs === undefined) {
        samples.push({ ...batch.load(), atMs: clock.monotonicMs() });
        samples.splice(0, Math.max(0, samples.length - MAX_LOAD_SAMPLES));
      }
    },
    read: () => {
      const sample = findLaggedSample<LoadSample>(samples, clock.monotonicMs() - (options.loadLagMs ?? 0));
      return formatLoad(sample as LoadSample, clock, MS_PER_SECOND / options.tokenMs);
    },
  };
};

interface EngineContext {
  readonly options: EngineOptions;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly orders: OrderExecutor;
  readonly executions: Map<string, number>;
  readonly sampleLoad: () => void;
}

const isLoaded = (context: EngineContext, model: string | undefined): boolean => {
  const models = Object.keys(context.orders.state().models);
  return models.length === 0 || model === undefined || models.includes(model);
};

const createCompletionRoute = (context: EngineContext, controls: ServerControls): JsonRoute => {
  const { options, cache, executions } = context;
  return async (value, exchange) => {
    const body = bodySchema.parse(value);
    const attemptId = String(exchange.request.headers['x-attempt-id']);
    const requestId = attemptId.replace(/\.\d+$/, '');
    const point = { serverId: options.serverId, kind: 'generate', requestId, echo: findEcho(body.prompt) };
    await options.observe?.({ type: 'received', ...point });
    if (!isLoaded(context, body.model)) {
      return new StatusReply(STATUS_UNAVAILABLE, { executed: false, leaving: false });
    }
    const result = await applyPreExecutionFaults(controls, exchange, { clock: options.clock, inputText: body.prompt });
    if (result.type === 'end') {
      return result.reply;
    }
    executions.set(requestId, (executions.get(requestId) ?? 0) + 1);
    const blocks = hashBlocks(body.prompt);
    const cachedTokens = cache.match(blocks) * TOKENS_PER_BLOCK;
    cache.store(blocks);
    const promptTokens = Math.ceil(body.prompt.length / CHARS_PER_TOKEN) + body.resume_token_index;
    const request: CompletionRequest = {
      attemptId,
      requestId,
      prompt: body.prompt,
      priority: body.priority ?? 'draft',
      resumeTokenIndex: body.resume_token_index,
      prefillTokens: Math.max(0, promptTokens - cachedTokens),
      cachedTokens,
    };
    streamCompletion(request, exchange, { ...context, controls });
    return undefined;
  };
};

const createCacheRoutes = (cache: PrefixCache): Record<string, JsonRoute> => ({
  'POST /v1/kv/export': (body) => {
    const requestedBlocks = hashBlocks(exportSchema.parse(body).prompt);
    const blocks = requestedBlocks.slice(0, cache.match(requestedBlocks));
    return { blocks, sizeBytes: blocks.length * BLOCK_BYTES };
  },
  'POST /v1/kv/import': (body) => {
    const { blocks } = importSchema.parse(body);
    cache.store(blocks);
    return { imported: blocks.length };
  },
});

/**
 * Starts a stand-in of a model engine. It has continuous batching with a token budget and priorities, a bounded prefix
 * cache, resumption and cancellation of streams, export and import of the KV cache, and orders of the planner. The
 * generated text depends only on the prompt, so that a stream resumed on another engine continues the same text.
 *
 * @param listen - address and port
 * @param options - clock, speed, capacities, lags, checks and observer
 * @returns the running stand-in
 */
export default async function startEngine(listen: ListenOptions, options: EngineOptions): Promise<EngineStandin> {
  const { clock } = options;
  const events = createCacheEventLog({
    clock,
    lagMs: options.cacheEventLagMs ?? 0,
    dropEvery: options.loseCacheEventEvery ?? 0,
  });
  const cache = createPrefixCache(options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS, events.record);
  const batch = createBatch({
    clock,
    stepMs: options.tokenMs,
    tokenBudget: options.tokenBudget ?? DEFAULT_TOKEN_BUDGET,
    maxRunning: options.maxRunning ?? DEFAULT_MAX_RUNNING,
  });
  const http = createHttpClient();
  const orders = createOrderExecutor({
    clock,
    checkFencing: options.checkFencing ?? false,
    models: options.models ?? {},
    fetchWeights: createWeightsFetcher(options, http),
  });
  const executions = new Map<string, number>();
  const loadSampler = createLoadSampler(options, batch);
  const context: EngineContext = { options, batch, cache, orders, executions, sampleLoad: loadSampler.sample };
  const server = await startFaultyServer(listen, {
    clock,
    onCrash: () => {
      batch.clear();
      cache.clear();
    },
    createRoutes: (controls) => ({
      'POST /v1/completions': createCompletionRoute(context, controls),
      'POST /v1/cancel': (body) => ({ cancelled: batch.cancel(cancelSchema.parse(body).id) }),
      ...createCacheRoutes(cache),
      'GET /cache/events': (_, { query }) => events.since(Number(query.get('since') ?? 0)),
      'GET /load': () => loadSampler.read(),
      'POST /orders': (body) => orders.submit(body),
      'GET /orders/state': () => orders.state(),
      'GET /control/executions': () => Object.fromEntries(executions),
      'GET /control/counters': () => ({ ...batch.load(), cachedBlocks: cache.blocks().length }),
    }),
  });
  const close = async (): Promise<void> => {
    batch.clear();
    http.close();
    await server.close();
  };
  return { ...server, close, executions: () => Object.fromEntries(executions) };
}
