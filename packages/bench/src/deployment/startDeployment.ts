import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createHttpClient } from '@bergamotcove/transport';
import type { StandinHost, StandinOptions } from '@bergamotcove/standins';
import { builtScript } from './paths.js';
import startProcess, { type BenchProcess } from './startProcess.js';
import type { DeploymentSpec, FailureDomainSpec, PoolSpec } from './types.js';

/** A running entry host. */
export interface RunningEntryHost {
  readonly process: BenchProcess;
  readonly callersPort: number;
  readonly peersPort: number;
}

/** A running deployment. */
export interface RunningDeployment {
  readonly storeUrl: string;
  readonly entryHosts: readonly RunningEntryHost[];
  /** Sends SIGTERM to the entry hosts, then to the stand-ins, and waits; true when all exited with code 0. */
  stop(): Promise<boolean>;
}

const ADDRESS = '127.0.0.1';
const SERVICE_MS = 5;
const TOKEN_MS = 2;
const TOKENS_PER_ANSWER = 24;
const PEER_SECRET = 'quickstart-peer-secret';

const startStandin = (name: string, options: StandinOptions): Promise<BenchProcess> =>
  startProcess(name, [builtScript('standins', 'main.js'), JSON.stringify(options)]);

const readPort = (process: BenchProcess, field = 'port'): number => Number(process.ready[field]);

const startServer = async (
  pool: PoolSpec,
  domain: FailureDomainSpec,
  index: number,
): Promise<{ readonly process: BenchProcess; readonly host: StandinHost }> => {
  const serverId = `${pool.pool}-${index}`;
  const commonOptions = { address: ADDRESS, port: 0, serverId };
  const process = await startStandin(
    serverId,
    pool.kind === 'generate'
      ? { kind: 'engine', ...commonOptions, tokenMs: TOKEN_MS, tokensPerAnswer: TOKENS_PER_ANSWER }
      : { kind: 'stage', ...commonOptions, stage: pool.kind, serviceMs: SERVICE_MS },
  );
  const host: StandinHost = {
    id: serverId,
    role: 'server',
    address: ADDRESS,
    port: readPort(process),
    pool: pool.pool,
    ...domain,
  };
  return { process, host };
};

/** Selects failure domains in turn, which spreads the processes evenly. */
const selectFailureDomain = (spec: DeploymentSpec, index: number): FailureDomainSpec =>
  spec.failureDomains[index % spec.failureDomains.length] as FailureDomainSpec;

const startServers = (spec: DeploymentSpec) =>
  Promise.all(
    spec.pools.flatMap((pool) =>
      Array.from({ length: pool.servers }, (_, index) => startServer(pool, selectFailureDomain(spec, index), index)),
    ),
  );

const startEntryHost = async (
  domain: FailureDomainSpec,
  index: number,
  options: { readonly directory: string; readonly storeUrl: string; readonly hostListUrl: string },
): Promise<RunningEntryHost> => {
  const id = `entry-${index}`;
  const file = path.join(options.directory, `${id}.json`);
  const settings = {
    host: { id, address: ADDRESS, ...domain },
    callers: { port: 0 },
    peers: { port: 0, keys: [{ id: 'k1', secret: PEER_SECRET }] },
    store: { urls: [options.storeUrl] },
    hostList: { url: options.hostListUrl, pollMs: 200 },
    drain: { balancerLagMs: 100, timeoutMs: 10_000 },
    planner: {},
    log: { namespaces: 'bergamot:*:error,bergamot:*:warn' },
  };
  writeFileSync(file, JSON.stringify(settings));
  const process = await startProcess(id, [builtScript('entry', 'main.js'), '--settings', file]);
  return { process, callersPort: readPort(process, 'callersPort'), peersPort: readPort(process, 'peersPort') };
};

const describeEntryHost = (host: RunningEntryHost, domain: FailureDomainSpec, index: number): StandinHost => ({
  id: `entry-${index}`,
  role: 'entry',
  address: ADDRESS,
  port: host.callersPort,
  peerPort: host.peersPort,
  ...domain,
});

const publishHosts = async (port: number, hosts: readonly StandinHost[]): Promise<void> => {
  const http = createHttpClient();
  await http.send({ address: ADDRESS, port }, { method: 'POST', path: '/control/hosts', body: JSON.stringify(hosts) });
  http.close();
};

const stopAll = async (processes: readonly BenchProcess[]): Promise<boolean> => {
  processes.forEach((process) => process.signal('SIGTERM'));
  const codes = await Promise.all(processes.map((process) => process.exited));
  return codes.every((code) => code === 0);
};

/**
 * Starts the stand-ins and entry hosts of a deployment as separate processes on loopback.
 *
 * @param spec - shape of the deployment
 * @returns the running deployment
 */
export default async function startDeployment(spec: DeploymentSpec): Promise<RunningDeployment> {
  const store = await startStandin('store', { kind: 'store', address: ADDRESS, port: 0 });
  const hostList = await startStandin('host-list', { kind: 'host-list', address: ADDRESS, port: 0 });
  const servers = await startServers(spec);
  await publishHosts(
    readPort(hostList),
    servers.map((server) => server.host),
  );
  const directory = mkdtempSync(path.join(tmpdir(), 'bergamot-'));
  const storeUrl = `http://${ADDRESS}:${readPort(store)}`;
  const hostListUrl = `http://${ADDRESS}:${readPort(hostList)}/v1/hosts`;
  const failureDomains = Array.from({ length: spec.entryHosts }, (_, index) => selectFailureDomain(spec, index));
  const entryHosts = await Promise.all(
    failureDomains.map((domain, index) => startEntryHost(domain, index, { directory, storeUrl, hostListUrl })),
  );
  await publishHosts(readPort(hostList), [
    ...servers.map((server) => server.host),
    ...entryHosts.map((host, index) => describeEntryHost(host, selectFailureDomain(spec, index), index)),
  ]);
  return {
    storeUrl,
    entryHosts,
    stop: async () => {
      const entriesClean = await stopAll(entryHosts.map((host) => host.process));
      const standinsClean = await stopAll([...servers.map((server) => server.process), hostList, store]);
      rmSync(directory, { recursive: true });
      return entriesClean && standinsClean;
    },
  };
}
