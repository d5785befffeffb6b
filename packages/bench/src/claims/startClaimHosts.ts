import { randomUUID } from 'node:crypto';
import { createSystemClock } from '@bergamotcove/clock';
import { parseServiceDocument, settingsSchema, type StageSpec } from '@bergamotcove/config';
import { startEntryHost, type EntryHost } from '@bergamotcove/entry';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import {
  createHttpClient,
  createPeerAuth,
  createPeerClient,
  type HttpClient,
  type HttpResponse,
} from '@bergamotcove/transport';
import {
  createLedger,
  startEngine,
  startHostList,
  startStageServer,
  startStore,
  type EngineStandin,
  type HostListStandin,
  type Ledger,
  type StageServerStandin,
  type StandinHost,
  type StoreStandin,
} from '@bergamotcove/standins';

const ADDRESS = '127.0.0.1';
const REGION = 'lombardy';
const PEER_KEYS = [{ id: 'k1', secret: 'claims-bench-peer-secret' }];
const READY_POLL_MS = 20;
const MAX_READY_POLLS = 200;
export const CLAIM_SERVICE = 'ledger';

/** Options of {@link startClaimHosts}. */
export interface ClaimHostsOptions {
  readonly hosts: number;
  readonly deadlineMs?: number;
  /** Properties of the `once` stage. */
  readonly once?: Partial<Pick<StageSpec, 'serversCheckKeys' | 'statusQuery'>>;
  /** Time that a server of the `once` stage takes for a call. */
  readonly serviceMs?: number;
  readonly tokenMs?: number;
  readonly tokensPerAnswer?: number;
  readonly drain?: { readonly balancerLagMs: number; readonly timeoutMs: number };
}

/** One caller request. The operation is `post`, the one with the `once` stage, unless another is given. */
export interface ClaimRequestOptions {
  readonly key: string;
  readonly operation?: string;
  readonly input?: unknown;
  readonly stream?: boolean;
  readonly lastEventId?: number;
  readonly deadlineMs?: number;
}

/** Entry hosts and stand-ins that run in this process. */
export interface ClaimHosts {
  readonly hosts: readonly EntryHost[];
  readonly store: StoreStandin;
  readonly hostList: HostListStandin;
  /** Servers of the `once` stage. */
  readonly callServers: readonly StageServerStandin[];
  readonly encoders: readonly StageServerStandin[];
  readonly engines: readonly EngineStandin[];
  /** Counts the executions of each key on all servers of the `once` stage. */
  readonly ledger: Ledger;
  readonly http: HttpClient;
  post(hostIndex: number, request: ClaimRequestOptions): Promise<HttpResponse>;
  /** Calls a peer or operator method of a host. */
  callPeer(hostIndex: number, method: string, params: object): Promise<unknown>;
  /** Removes an entry host from the host list. */
  removeFromHostList(hostIndex: number): void;
  close(): Promise<void>;
}

const makeDocument = (options: ClaimHostsOptions) =>
  parseServiceDocument(
    {
      service: CLAIM_SERVICE,
      team: 'bench',
      deadlineMs: options.deadlineMs ?? 2_000,
      stages: [
        { name: 'encode', kind: 'encode', pool: 'encoders' },
        { name: 'draft', kind: 'generate', pool: 'engines', model: 'base' },
        { name: 'post', kind: 'call', pool: 'books', effect: 'once', ...options.once },
      ],
      // With the few requests of a test, the default budget ratio allows too few retries for a repeatable result.
      retry: { budgetRatio: 1, maxAttempts: 3 },
      operations: [
        { name: 'draft', idempotent: true, priority: 'draft', stages: ['encode', 'draft'] },
        { name: 'post', idempotent: false, priority: 'money', stages: ['encode', 'post'] },
      ],
      organisations: { default: { requestsPerSecond: 100_000, tokensPerSecond: 1_000_000, weight: 1 } },
    },
    { source: 'claims bench' },
  );

const describeServer = (pool: string, index: number, port: number): StandinHost => ({
  id: `${pool}-${index}`,
  role: 'server',
  address: ADDRESS,
  port,
  pool,
  failureDomain: 'a',
  region: REGION,
});

const startServers = async (options: ClaimHostsOptions) => {
  const clock = createSystemClock();
  const listen = { address: ADDRESS, port: 0 };
  const ledger = createLedger();
  const startThree = <Server>(start: (index: number) => Promise<Server>): Promise<readonly Server[]> =>
    Promise.all([0, 1, 2].map(start));
  const serviceMs = options.serviceMs ?? 2;
  const encoders = await startThree((index) =>
    startStageServer(listen, { clock, serverId: `encoders-${index}`, kind: 'encode', serviceMs: 1 }),
  );
  const callServers = await startThree((index) =>
    startStageServer(listen, {
      clock,
      serverId: `books-${index}`,
      kind: 'call',
      serviceMs,
      ledger,
      checkKeys: options.once?.serversCheckKeys === true,
    }),
  );
  const { tokenMs = 2, tokensPerAnswer = 20 } = options;
  const engines = await startThree((index) =>
    startEngine(listen, { clock, serverId: `engines-${index}`, tokenMs, tokensPerAnswer }),
  );
  const describe = (pool: string, servers: readonly { readonly port: number }[]) =>
    servers.map((server, index) => describeServer(pool, index, server.port));
  const serverHosts = [
    ...describe('encoders', encoders),
    ...describe('books', callServers),
    ...describe('engines', engines),
  ];
  return { encoders, callServers, engines, ledger, serverHosts };
};

const startHost = (
  index: number,
  ports: { readonly store: number; readonly hostList: number },
  options: ClaimHostsOptions,
): Promise<EntryHost> =>
  startEntryHost(
    settingsSchema.parse({
      host: { id: `entry-${index}`, address: ADDRESS, failureDomain: 'a', region: REGION },
      callers: { port: 0 },
      peers: { port: 0, keys: PEER_KEYS },
      store: { urls: [`http://${ADDRESS}:${ports.store}`], timeoutMs: 300 },
      hostList: { url: `http://${ADDRESS}:${ports.hostList}/v1/hosts`, pollMs: 50 },
      drain: options.drain ?? { balancerLagMs: 50, timeoutMs: 2_000 },
    }),
  );

const describeHost = (host: EntryHost, index: number): StandinHost => ({
  id: `entry-${index}`,
  role: 'entry',
  address: ADDRESS,
  port: host.callersPort,
  peerPort: host.peersPort,
  failureDomain: 'a',
  region: REGION,
});

const postTo = (http: HttpClient, host: EntryHost, request: ClaimRequestOptions): Promise<HttpResponse> =>
  http.send(
    { address: ADDRESS, port: host.callersPort },
    {
      method: 'POST',
      path: `/v1/services/${CLAIM_SERVICE}/requests`,
      headers: {
        'content-type': 'application/json',
        'idempotency-key': request.key,
        ...(request.lastEventId === undefined ? {} : { 'last-event-id': String(request.lastEventId) }),
      },
      body: JSON.stringify({
        organisation: 'acme',
        operation: request.operation ?? 'post',
        input: request.input ?? { key: request.key },
        stream: request.stream ?? false,
        ...(request.deadlineMs === undefined ? {} : { deadlineMs: request.deadlineMs }),
      }),
    },
  );

const waitUntilReady = async (http: HttpClient, hosts: readonly EntryHost[]): Promise<void> => {
  for (let poll = 0; poll < MAX_READY_POLLS; poll += 1) {
    const statuses = await Promise.all(
      hosts.map((host) =>
        http
          .send({ address: ADDRESS, port: host.callersPort }, { method: 'GET', path: '/readyz' })
          .then((r) => r.status),
      ),
    );
    if (statuses.every((status) => status === 200)) {
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
  throw new Error('the entry hosts did not become ready');
};

/** Wait after which every host has polled the host list at least once. */
const HOST_LIST_WAIT_MS = 150;

/**
 * Starts entry hosts, a store and backend servers in this process, with one service that has a `once` stage.
 *
 * @param options - number of hosts and properties of the service
 * @returns the running hosts and stand-ins; call `close` when done
 * @throws an error if the entry hosts do not become ready in time
 */
export default async function startClaimHosts(options: ClaimHostsOptions): Promise<ClaimHosts> {
  const clock = createSystemClock();
  const store = await startStore({ address: ADDRESS, port: 0 }, { clock });
  const hostList = await startHostList({ address: ADDRESS, port: 0 }, { hosts: [] });
  const { serverHosts, ...servers } = await startServers(options);
  hostList.setHosts(serverHosts);
  const storeClient = createStoreClient({ urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: 1_000 });
  await acceptDocument(storeClient, makeDocument(options), {
    changeId: randomUUID(),
    acceptedBy: 'bench',
    acceptedAtMs: clock.wallMs(),
  });
  storeClient.close();
  const ports = { store: store.port, hostList: hostList.port };
  const hosts = await Promise.all(
    Array.from({ length: options.hosts }, (_, index) => startHost(index, ports, options)),
  );
  const entries = hosts.map(describeHost);
  hostList.setHosts([...serverHosts, ...entries]);
  const http = createHttpClient();
  const peers = createPeerClient(http, { auth: createPeerAuth({ clock, keys: PEER_KEYS }) });
  await waitUntilReady(http, hosts);
  await new Promise((resolve) => {
    setTimeout(resolve, HOST_LIST_WAIT_MS);
  });
  return {
    hosts,
    store,
    hostList,
    ...servers,
    http,
    post: (hostIndex, request) => postTo(http, hosts[hostIndex] as EntryHost, request),
    callPeer: (hostIndex, method, params) => {
      const target = { address: ADDRESS, port: hosts[hostIndex]?.peersPort ?? 0 };
      return peers.call(target, method, params, { timeoutMs: 1_000 });
    },
    removeFromHostList: (hostIndex) =>
      hostList.setHosts([...serverHosts, ...entries.filter((_, index) => index !== hostIndex)]),
    close: async () => {
      http.close();
      hosts.forEach((host) => host.abort());
      const standins = [...servers.encoders, ...servers.callServers, ...servers.engines, hostList, store];
      await Promise.all(standins.map((standin) => standin.close()));
    },
  };
}
