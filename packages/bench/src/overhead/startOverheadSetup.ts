import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseServiceDocument, type ServiceDocument } from '@bergamotcove/config';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import { createHttpClient } from '@bergamotcove/transport';
import type { StandinHost } from '@bergamotcove/standins';
import { builtScript } from '../deployment/paths.js';
import startProcess, { type BenchProcess } from '../deployment/startProcess.js';
import { STREAM_TOKENS } from './constants.js';

/** Processes of the overhead measurement. */
export interface OverheadSetup {
  readonly server: BenchProcess;
  readonly serverPort: number;
  readonly forwarder: BenchProcess;
  readonly forwarderPort: number;
  readonly entry: BenchProcess;
  readonly entryPort: number;
  stop(): Promise<void>;
}

const ADDRESS = '127.0.0.1';
const STORE_TIMEOUT_MS = 2_000;
const PLACE = { failureDomain: 'd1', region: 'r1' };
/** Name of the service that the generators call. */
export const OVERHEAD_SERVICE = 'overhead';

const KINDS = ['encode', 'retrieve', 'rerank', 'generate'] as const;
const SHORT_STAGES: readonly string[] = ['encode', 'retrieve', 'rerank'];

const buildDocument = (): ServiceDocument =>
  parseServiceDocument(
    {
      service: OVERHEAD_SERVICE,
      team: 'bench',
      deadlineMs: 10_000,
      stages: KINDS.map((kind) => ({
        name: kind,
        kind,
        pool: kind,
        ...(kind === 'generate' ? { model: 'base' } : {}),
      })),
      operations: [
        { name: 'one-hop', idempotent: true, priority: 'interactive', stages: ['encode'], expectedOutputTokens: 0 },
        {
          name: 'three-hops',
          idempotent: true,
          priority: 'interactive',
          stages: SHORT_STAGES,
          expectedOutputTokens: 0,
        },
        {
          name: 'stream',
          idempotent: true,
          priority: 'interactive',
          stages: ['generate'],
          expectedOutputTokens: STREAM_TOKENS,
        },
      ],
      // Limits far above the measured rates, so that admission decides but never refuses.
      organisations: { default: { requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000 } },
    },
    { source: 'overhead' },
  );

const readPort = (process: BenchProcess, field = 'port'): number => Number(process.ready[field]);

const startStandin = (kind: 'store' | 'host-list'): Promise<BenchProcess> =>
  startProcess(kind, [builtScript('standins', 'main.js'), JSON.stringify({ kind, address: ADDRESS, port: 0 })]);

const accept = async (storeUrl: string): Promise<void> => {
  const store = createStoreClient({ urls: [storeUrl], timeoutMs: STORE_TIMEOUT_MS });
  const facts = { changeId: 'overhead', acceptedBy: 'bench', acceptedAtMs: Date.now() };
  await acceptDocument(store, buildDocument(), facts);
  store.close();
};

const publishServer = async (hostListPort: number, serverPort: number): Promise<void> => {
  const hosts: readonly StandinHost[] = KINDS.map((pool) => ({
    id: `${pool}-0`,
    role: 'server',
    address: ADDRESS,
    port: serverPort,
    pool,
    ...PLACE,
  }));
  const http = createHttpClient();
  const body = JSON.stringify(hosts);
  await http.send({ address: ADDRESS, port: hostListPort }, { method: 'POST', path: '/control/hosts', body });
  http.close();
};

const buildSettings = (storeUrl: string, hostListPort: number): object => ({
  host: { id: 'entry-0', address: ADDRESS, ...PLACE },
  callers: { port: 0 },
  peers: { port: 0, keys: [{ id: 'k1', secret: 'overhead-peer-secret' }] },
  store: { urls: [storeUrl] },
  hostList: { url: `http://${ADDRESS}:${hostListPort}/v1/hosts`, pollMs: 1_000 },
  drain: { balancerLagMs: 0, timeoutMs: 5_000 },
  log: { namespaces: 'bergamot:*:error,bergamot:*:warn' },
});

/**
 * Starts an instant server, a plain forwarder before it, and one entry host before it, each as its own process.
 *
 * @param options - arguments for the Node process of the entry host, for instance `--cpu-prof`
 * @returns the running processes
 */
export default async function startOverheadSetup(options: {
  readonly entryArgs: readonly string[];
}): Promise<OverheadSetup> {
  const server = await startProcess('instant-server', [builtScript('bench', 'overhead/instantServer.main.js')]);
  const forwarder = await startProcess('forwarder', [
    builtScript('bench', 'overhead/forwarder.main.js'),
    String(readPort(server)),
  ]);
  const [store, hostList] = await Promise.all([startStandin('store'), startStandin('host-list')]);
  const storeUrl = `http://${ADDRESS}:${readPort(store)}`;
  await accept(storeUrl);
  await publishServer(readPort(hostList), readPort(server));
  const directory = mkdtempSync(path.join(tmpdir(), 'bergamot-overhead-'));
  const file = path.join(directory, 'settings.json');
  writeFileSync(file, JSON.stringify(buildSettings(storeUrl, readPort(hostList))));
  const entry = await startProcess('entry', [
    ...options.entryArgs,
    builtScript('entry', 'main.js'),
    '--settings',
    file,
  ]);
  return {
    server,
    serverPort: readPort(server),
    forwarder,
    forwarderPort: readPort(forwarder),
    entry,
    entryPort: readPort(entry, 'callersPort'),
    stop: async () => {
      const processes = [entry, forwarder, server, hostList, store];
      processes.forEach((process) => process.signal('SIGTERM'));
      await Promise.all(processes.map((process) => process.exited));
      rmSync(directory, { recursive: true });
    },
  };
}
