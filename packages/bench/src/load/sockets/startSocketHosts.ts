import { randomUUID } from 'node:crypto';
import { createSystemClock } from '@bergamotcove/clock';
import { parseServiceDocument, settingsSchema } from '@bergamotcove/config';
import { startEntryHost, type EntryHost } from '@bergamotcove/entry';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import { startEngine, startHostList, startStageServer, startStore, type StandinHost } from '@bergamotcove/standins';

/** Size of the socket run. */
export interface SocketOptions {
  readonly hosts: number;
  /** Time per token of each engine; the number of engines follows from it. */
  readonly engineTokenMs: readonly number[];
}

/** Entry hosts and stand-ins on loopback sockets in this process. */
export interface SocketHosts {
  readonly ports: readonly number[];
  close(): Promise<void>;
}

export const SOCKET_SERVICE = 'socket-bench';
const ADDRESS = '127.0.0.1';
const LISTEN = { address: ADDRESS, port: 0 };
const PLACE = { failureDomain: 'a', region: 'r' };
const TOKENS_PER_ANSWER = 40;
const LOAD_LAG_MS = 300;
const STAGE_MS = 3;
/** Time until every host has polled the host list and the load reports. */
const SETTLE_MS = 700;

const DOCUMENT = {
  service: SOCKET_SERVICE,
  team: 'bench',
  deadlineMs: 5_000,
  stages: [
    { name: 'encode', kind: 'encode', pool: 'encoders' },
    { name: 'retrieve', kind: 'encode', pool: 'encoders' },
    { name: 'generate', kind: 'generate', pool: 'engines', model: 'base' },
  ],
  operations: [{ name: 'explain', idempotent: true, priority: 'interactive', expectedOutputTokens: TOKENS_PER_ANSWER }],
  organisations: { default: { requestsPerSecond: 1_000, tokensPerSecond: 1_000_000, weight: 1 }, overrides: {} },
  hedge: { quantile: 0.95, maxRatio: 0.05 },
};

const startServers = async (options: SocketOptions) => {
  const clock = createSystemClock();
  const engines = await Promise.all(
    options.engineTokenMs.map((tokenMs, index) =>
      startEngine(LISTEN, {
        clock,
        serverId: `engine-${index}`,
        tokenMs,
        tokensPerAnswer: TOKENS_PER_ANSWER,
        loadLagMs: LOAD_LAG_MS,
      }),
    ),
  );
  const encoders = await Promise.all(
    [0, 1].map((index) =>
      startStageServer(LISTEN, { clock, serverId: `encoder-${index}`, kind: 'encode', serviceMs: STAGE_MS }),
    ),
  );
  const describe = (pool: string, servers: readonly { readonly port: number }[]): readonly StandinHost[] =>
    servers.map(({ port }, index) => ({
      id: `${pool}-${index}`,
      role: 'server',
      address: ADDRESS,
      port,
      pool,
      ...PLACE,
    }));
  return {
    servers: [...engines, ...encoders],
    listed: [...describe('engines', engines), ...describe('encoders', encoders)],
  };
};

const startHost = (index: number, ports: { readonly store: number; readonly hostList: number }): Promise<EntryHost> =>
  startEntryHost(
    settingsSchema.parse({
      host: { id: `entry-${index}`, address: ADDRESS, ...PLACE },
      callers: { port: 0 },
      peers: { port: 0, keys: [{ id: 'k1', secret: 'socket-bench-peer-secret' }] },
      store: { urls: [`http://${ADDRESS}:${ports.store}`] },
      hostList: { url: `http://${ADDRESS}:${ports.hostList}/v1/hosts`, pollMs: 100 },
      drain: { balancerLagMs: 0, timeoutMs: 5_000 },
    }),
  );

/**
 * Starts entry hosts, a store, a host list and servers on loopback.
 *
 * @param options - number of hosts and speed of each engine
 * @returns ports for callers; close it in the end
 */
export default async function startSocketHosts(options: SocketOptions): Promise<SocketHosts> {
  const clock = createSystemClock();
  const store = await startStore(LISTEN, { clock });
  const { servers, listed } = await startServers(options);
  const hostList = await startHostList(LISTEN, { hosts: listed });
  const storeClient = createStoreClient({ urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: 1_000 });
  const document = parseServiceDocument(DOCUMENT, { source: 'socket bench' });
  const change = { changeId: randomUUID(), acceptedBy: 'bench', acceptedAtMs: clock.wallMs() };
  await acceptDocument(storeClient, document, change);
  storeClient.close();
  const ports = { store: store.port, hostList: hostList.port };
  const hosts = await Promise.all(Array.from({ length: options.hosts }, (_, index) => startHost(index, ports)));
  const entries = hosts.map((host, index): StandinHost => ({
    id: `entry-${index}`,
    role: 'entry',
    address: ADDRESS,
    port: host.callersPort,
    peerPort: host.peersPort,
    ...PLACE,
  }));
  hostList.setHosts([...listed, ...entries]);
  await new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });
  return {
    ports: hosts.map((host) => host.callersPort),
    close: async () => {
      await Promise.all(hosts.map((host) => host.close()));
      await Promise.all([...servers, hostList, store].map((part) => part.close()));
    },
  };
}
