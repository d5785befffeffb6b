import { z } from 'zod';

const portSchema = z.int().min(0).max(65_535);
const ipSchema = z.union([z.ipv4(), z.ipv6()], 'expected an IP address');

/** Schema of the settings file of an entry host. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({
    id: z.string().min(1),
    address: ipSchema,
    failureDomain: z.string().min(1),
    region: z.string().min(1),
  }),
  callers: z.strictObject({ port: portSchema }),
  peers: z.strictObject({
    port: portSchema,
    /** The first key signs; all keys are accepted. */
    keys: z.array(z.strictObject({ id: z.string().min(1), secret: z.string().min(16) })).min(1),
  }),
  store: z.strictObject({ urls: z.array(z.url()).min(1), timeoutMs: z.int().min(10).default(1_000) }),
  hostList: z.strictObject({ url: z.url(), pollMs: z.int().min(50).default(1_000) }),
  drain: z
    .strictObject({ balancerLagMs: z.int().min(0), timeoutMs: z.int().min(0) })
    .default({ balancerLagMs: 5_000, timeoutMs: 60_000 }),
  /** Claims of idempotency keys. */
  claims: z
    .strictObject({
      /** Maximum number of sealed segments per shard; with 64 shards, each one adds at most 20 MB to the store. */
      maxSegmentsPerShard: z.int().min(0).default(8),
    })
    .optional(),
  trace: z.strictObject({ sampleRatio: z.number().min(0).max(1) }).default({ sampleRatio: 1 }),
  /** Planner of the orders to engines; a host without this section sends none. */
  planner: z
    .strictObject({
      /** Open requests per copy of a model that the planner aims for. */
      requestsPerCopy: z.number().positive().default(16),
      minCopies: z.int().min(1).default(2),
      maxModelsPerEngine: z.int().min(1).default(2),
      /** Maximum number of model loads in progress in one pool, because the weight store is rate-limited. */
      maxLoads: z.int().min(1).default(2),
      /** Share of the engines that run prefill only. */
      prefillShare: z.number().min(0).max(0.9).default(0),
    })
    .optional(),
  metrics: z.strictObject({ address: ipSchema, port: portSchema }).optional(),
  log: z.strictObject({ namespaces: z.string() }).optional(),
});
