/** Runs one stand-in as a process: `node main.js '{"kind": "store", "address": "127.0.0.1", "port": 0}'`. */
import { createSystemClock } from '@bergamotcove/clock';
import { exhaustive, toError } from '@bergamotcove/errors';
import { z } from 'zod';
import startHostList from './hosts/startHostList.js';
import startEngine from './servers/startEngine.js';
import startStageServer from './servers/startStageServer.js';
import startStore from './store/startStore.js';
import type { Standin } from './types.js';

const place = { address: z.ipv4(), port: z.int() };
const optionsSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('store'), ...place }),
  z.strictObject({ kind: z.literal('host-list'), ...place }),
  z.strictObject({
    kind: z.literal('engine'),
    ...place,
    serverId: z.string(),
    tokenMs: z.number(),
    tokensPerAnswer: z.int(),
  }),
  z.strictObject({
    kind: z.literal('stage'),
    ...place,
    serverId: z.string(),
    stage: z.enum(['encode', 'retrieve', 'rerank', 'call']),
    serviceMs: z.number(),
  }),
]);

/** Options of one stand-in process. */
export type StandinOptions = z.input<typeof optionsSchema>;

const start = (options: z.output<typeof optionsSchema>): Promise<Standin> => {
  const clock = createSystemClock();
  const listen = { address: options.address, port: options.port };
  switch (options.kind) {
    case 'store':
      return startStore(listen, { clock });
    case 'host-list':
      return startHostList(listen, { hosts: [] });
    case 'engine':
      return startEngine(listen, { clock, ...options });
    case 'stage':
      return startStageServer(listen, { clock, ...options, kind: options.stage });
    default:
      return exhaustive(options);
  }
};

const main = async (): Promise<void> => {
  const standin = await start(optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}')));
  console.log(JSON.stringify({ ready: true, port: standin.port }));
  process.on('SIGTERM', () => {
    standin.close().then(() => process.exit(0));
  });
};

main().catch((cause: unknown) => {
  console.error(`stand-in: ${toError(cause).message}`);
  process.exit(1);
});
