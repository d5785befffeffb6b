/**
 * Runs one stand-in as a process, with its options as JSON:
 * `node main.js '{"kind": "store", "address": "127.0.0.1", "port": 0}'`.
 */
import { createSystemClock } from '@bergamotcove/clock';
import { exhaustive, toError } from '@bergamotcove/errors';
import { z } from 'zod';
import startHostList from './hosts/startHostList.js';
import startBalancer from './balancer/startBalancer.js';
import startEngine from './engines/startEngine.js';
import startStageServer from './servers/startStageServer.js';
import startStore from './store/startStore.js';
import startWeightStore from './weights/startWeightStore.js';
import type { Standin } from './types.js';

const listenFields = { address: z.ipv4(), port: z.int() };
const optionsSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('store'), ...listenFields, callsPerSecond: z.number().positive().optional() }),
  z.strictObject({ kind: z.literal('host-list'), ...listenFields }),
  z.strictObject({
    kind: z.literal('engine'),
    ...listenFields,
    serverId: z.string(),
    tokenMs: z.number(),
    tokensPerAnswer: z.int(),
    tokenBudget: z.int().min(1).optional(),
    maxRunning: z.int().min(1).optional(),
    cacheBlocks: z.int().min(0).optional(),
    cacheEventLagMs: z.number().optional(),
    loseCacheEventEvery: z.int().optional(),
    loadLagMs: z.number().optional(),
    checkFencing: z.boolean().optional(),
    models: z.record(z.string(), z.string()).optional(),
    weightStore: z.strictObject({ address: z.ipv4(), port: z.int() }).optional(),
  }),
  z.strictObject({
    kind: z.literal('weight-store'),
    ...listenFields,
    bytesPerSecond: z.number().positive(),
    maxDownloads: z.int().min(1),
    sizeBytes: z.number(),
  }),
  z.strictObject({
    kind: z.literal('balancer'),
    ...listenFields,
    checkMs: z.number().min(1),
    ignoreDrainMs: z.number().min(0),
  }),
  z.strictObject({
    kind: z.literal('stage'),
    ...listenFields,
    serverId: z.string(),
    stage: z.enum(['encode', 'retrieve', 'rerank', 'call']),
    serviceMs: z.number(),
    checkKeys: z.boolean().optional(),
    loadLagMs: z.number().optional(),
  }),
]);

/** Options of a stand-in process. */
export type StandinOptions = z.input<typeof optionsSchema>;

const start = (options: z.output<typeof optionsSchema>): Promise<Standin & { readonly controlPort?: number }> => {
  const clock = createSystemClock();
  const listen = { address: options.address, port: options.port };
  switch (options.kind) {
    case 'store':
      return startStore(listen, { clock, ...options });
    case 'host-list':
      return startHostList(listen, { clock, hosts: [] });
    case 'engine':
      return startEngine(listen, { clock, ...options });
    case 'weight-store':
      return startWeightStore(listen, { clock, ...options });
    case 'balancer':
      return startBalancer(listen, { clock, backends: [], ...options });
    case 'stage':
      return startStageServer(listen, { clock, ...options, kind: options.stage });
    default:
      return exhaustive(options);
  }
};

const main = async (): Promise<void> => {
  const standin = await start(optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}')));
  console.log(JSON.stringify({ ready: true, port: standin.port, controlPort: standin.controlPort }));
  process.on('SIGTERM', () => {
    standin.close().then(() => process.exit(0));
  });
};

main().catch((cause: unknown) => {
  console.error(`stand-in: ${toError(cause).message}`);
  process.exit(1);
});
