import { z } from 'zod';
import type { Clock } from '@bergamotcove/clock';
import { createHttpClient, type HttpClient } from '@bergamotcove/transport';
import findEcho from '../_lib/findEcho.js';
import refuseBefore from '../_lib/refuseBefore.js';
import { StatusReply, type JsonRoute } from '../_lib/serveJson.js';
import startFaultyServer, { type FaultyServer, type ServerControls } from '../_lib/startFaultyServer.js';
import wait from '../_lib/wait.js';
import { pickLagged, type LoadSample } from '../servers/createLoadReport.js';
import formatLoad from '../servers/formatLoad.js';
import type { ListenOptions, Observe, ServerPoint } from '../types.js';
import createBatch, { type Batch } from './createBatch.js';
import createCacheEvents from './createCacheEvents.js';
import createOrders, { type Orders } from './createOrders.js';
import createPrefixCache, { BLOCK_CHARS, hashBlocks, type PrefixCache } from './createPrefixCache.js';
import streamCompletion, { type CompletionRequest } from './streamCompletion.js';

/** Options of {@link startEngine}. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly serverId: string;
  /** Time of one batch step, which yields one token for each sequence in progress. */
  readonly tokenMs: number;
  /** Length of an answer; an input field `outputTokens` overrides it. */
  readonly tokensPerAnswer: number;
  readonly tokenBudget?: number;
  readonly maxRunning?: number;
  /** Memory of the prefix cache. */
  readonly cacheBlocks?: number;
  readonly cacheEventLagMs?: number;
  /** One cache event in this many is lost. */
  readonly loseCacheEventEvery?: number;
  readonly loadLagMs?: number;
  readonly checkFencing?: boolean;
  /** Loaded models and their versions; any model is accepted when empty. */
  readonly models?: Readonly<Record<string, string>>;
  /** Weight store; loads are instant without one. */
  readonly weightStore?: { readonly address: string; readonly port: number };
  readonly observe?: Observe<ServerPoint>;
}

/** A running engine. */
export interface EngineStandin extends FaultyServer {
  /** Generations started by request id; a resumed stream counts again. */
  executions(): Readonly<Record<string, number>>;
}

const DEFAULT_TOKEN_BUDGET = 512;
const DEFAULT_MAX_RUNNING = 64;
const DEFAULT_CACHE_BLOCKS = 4_096;
const MS_PER_SECOND = 1_000;
const LOAD_SAMPLE_MS = 50;
const KEPT_LOAD_SAMPLES = 600;
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

/** Bytes of KV cache of one block, for the size of exports. */
const BLOCK_BYTES = 2_097_152;

const createWeightsFetch =
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

/** Samples the load while the engine works, so that reports can lag. */
const createLaggedLoad = (options: EngineOptions, batch: Batch) => {
  const { clock } = options;
  const samples = [{ ...batch.load(), atMs: clock.monotonicMs() }];
  return {
    sample: (): void => {
      if (clock.monotonicMs() - (samples.at(-1)?.atMs ?? 0) >= LOAD_SAMPLE_MS || options.loadLagMs === undefined) {
        samples.push({ ...batch.load(), atMs: clock.monotonicMs() });
        samples.splice(0, Math.max(0, samples.length - KEPT_LOAD_SAMPLES));
      }
    },
    read: () => {
      const sample = pickLagged<LoadSample>(samples, clock.monotonicMs() - (options.loadLagMs ?? 0));
      return formatLoad(sample as LoadSample, clock, MS_PER_SECOND / options.tokenMs);
    },
  };
};

interface Parts {
  readonly options: EngineOptions;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly orders: Orders;
  readonly executions: Map<string, number>;
  readonly sampleLoad: () => void;
}

const isLoaded = (parts: Parts, model: string | undefined): boolean => {
  const models = Object.keys(parts.orders.state().models);
  return models.length === 0 || model === undefined || models.includes(model);
};

const createComplete = (parts: Parts, controls: ServerControls): JsonRoute => {
  const { options, cache, executions } = parts;
  return async (value, exchange) => {
    const body = bodySchema.parse(value);
    const attemptId = String(exchange.request.headers['x-attempt-id']);
    const requestId = attemptId.replace(/\.\d+$/, '');
    const point = { serverId: options.serverId, kind: 'generate', requestId, echo: findEcho(body.prompt) };
    await options.observe?.({ type: 'received', ...point });
    if (!isLoaded(parts, body.model)) {
      return new StatusReply(STATUS_UNAVAILABLE, { executed: false, leaving: false });
    }
    const refusal = await refuseBefore(controls, exchange, { clock: options.clock, inputText: body.prompt });
    if (refusal.type === 'end') {
      return refusal.reply;
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
    streamCompletion(request, exchange, { ...parts, controls });
    return undefined;
  };
};

const createCacheRoutes = (cache: PrefixCache): Record<string, JsonRoute> => ({
  'POST /v1/kv/export': (body) => {
    const wanted = hashBlocks(exportSchema.parse(body).prompt);
    const blocks = wanted.slice(0, cache.match(wanted));
    return { blocks, sizeBytes: blocks.length * BLOCK_BYTES };
  },
  'POST /v1/kv/import': (body) => {
    const { blocks } = importSchema.parse(body);
    cache.store(blocks);
    return { imported: blocks.length };
  },
});

/**
 * Starts a stand-in of a model engine: continuous batching with a token budget, a prefix cache in limited memory,
 * priorities, resume and cancel of streams, KV cache export and import, orders. The text depends only on the prompt,
 * so that a stream resumed on another engine continues the same text.
 *
 * @param listen - address and port
 * @param options - speed, memory, lags, checks
 * @returns the running stand-in
 */
export default async function startEngine(listen: ListenOptions, options: EngineOptions): Promise<EngineStandin> {
  const { clock } = options;
  const events = createCacheEvents({
    clock,
    lagMs: options.cacheEventLagMs ?? 0,
    loseEvery: options.loseCacheEventEvery ?? 0,
  });
  const cache = createPrefixCache(options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS, events.note);
  const batch = createBatch({
    clock,
    stepMs: options.tokenMs,
    tokenBudget: options.tokenBudget ?? DEFAULT_TOKEN_BUDGET,
    maxRunning: options.maxRunning ?? DEFAULT_MAX_RUNNING,
  });
  const http = createHttpClient();
  const orders = createOrders({
    clock,
    checkFencing: options.checkFencing ?? false,
    models: options.models ?? {},
    fetchWeights: createWeightsFetch(options, http),
  });
  const executions = new Map<string, number>();
  const load = createLaggedLoad(options, batch);
  const parts: Parts = { options, batch, cache, orders, executions, sampleLoad: load.sample };
  const server = await startFaultyServer(listen, {
    clock,
    onCrash: () => {
      batch.clear();
      cache.clear();
    },
    createRoutes: (controls) => ({
      'POST /v1/completions': createComplete(parts, controls),
      'POST /v1/cancel': (body) => ({ cancelled: batch.cancel(cancelSchema.parse(body).id) }),
      ...createCacheRoutes(cache),
      'GET /cache/events': (_, { query }) => events.since(Number(query.get('since') ?? 0)),
      'GET /load': () => load.read(),
      'POST /orders': (body) => orders.give(body),
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
