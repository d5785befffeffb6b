import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { NEVER } from 'rxjs';
import { createSystemClock } from '@bergamotcove/clock';
import {
  chooseServer,
  createLimiter,
  createPoolTracker,
  type DispatchRequest,
  type PoolTracker,
  type ServerDescription,
} from '@bergamotcove/decide';
import { createServerDirectory, type ServerDirectory } from '@bergamotcove/entry';
import type { ListedHost } from '@bergamotcove/protocol';
import createRandomSource from '../load/_lib/createRandomSource.js';
import type { BenchRun } from '../load/benchTypes.js';
import { formatRows } from '../load/formatLoadTable.js';

const POOL_SIZES = [8, 32, 160];
/** Target size of the host list. */
const FLEET = { entryHosts: 410, servers: 1_700, pools: 34 };
const WARM_UP_CHOICES = 5_000;
const CHOICES = 20_000;
const MEMORY_ITEMS = 10_000;
const US_PER_MS = 1_000;
const PERCENT = 100;

const createServers = (count: number): readonly ServerDescription[] =>
  Array.from({ length: count }, (_, index) => ({
    serverId: `engine-${index}`,
    address: '10.0.0.1',
    port: index,
    pool: 'engines',
    failureDomain: `domain-${index % 3}`,
    region: index % 3 === 2 ? 'far' : 'near',
    state: 'live',
  }));

const REQUEST: DispatchRequest = {
  tokens: 94,
  long: false,
  remainingMs: 3_000,
  avoidServers: [],
  failureDomain: 'domain-0',
  region: 'near',
  crossRegionAllowed: true,
  nowMs: 1_000,
};

const fillTracker = (servers: readonly ServerDescription[]): PoolTracker => {
  const tracker = createPoolTracker();
  servers.forEach(({ serverId }, index) => {
    tracker.note(serverId, { type: 'sent', tokens: index % 50, long: false }, index % 900);
    tracker.note(serverId, { type: 'progress', tokens: 10, elapsedMs: 80 + (index % 7) }, 900);
    const report = { running: index % 12, queued: 0, tokensPerSecond: 900, reportedAtMs: 500 };
    tracker.noteReport(serverId, report, { hosts: 9, nowMs: 900 });
  });
  return tracker;
};

/** Median and 99th percentile of the time of a choice, in microseconds. */
const timeChoices = (choose: (index: number) => void) => {
  Array.from({ length: WARM_UP_CHOICES }).forEach((_, index) => choose(index));
  const timesUs = Array.from({ length: CHOICES }, (_, index) => {
    const startedMs = performance.now();
    choose(index);
    return (performance.now() - startedMs) * US_PER_MS;
  }).sort((a, b) => a - b);
  const percentile = (percent: number): number => timesUs[Math.floor((CHOICES * percent) / PERCENT)] ?? 0;
  return { p50Us: percentile(50), p99Us: percentile(99) };
};

/** Measures one choice, including the pool view that it needs. */
const measureChoice = (poolSize: number, seed: number) => {
  const servers = createServers(poolSize);
  const tracker = fillTracker(servers);
  const random = createRandomSource(seed, 1);
  const times = timeChoices(() => {
    chooseServer(tracker.view('engines', servers, REQUEST.nowMs), REQUEST, random);
  });
  return { poolSize, ...times };
};

const createHostList = (): readonly ListedHost[] => {
  const createLocation = (index: number) => ({
    address: '10.0.0.1',
    port: 8_000,
    failureDomain: `domain-${index % 11}`,
    region: `region-${Math.min(4, Math.floor((index % 11) / 2))}`,
    state: 'live' as const,
  });
  const entryHosts = Array.from({ length: FLEET.entryHosts }, (_, index) => ({
    id: `entry-${index}`,
    role: 'entry' as const,
    ...createLocation(index),
  }));
  const servers = Array.from({ length: FLEET.servers }, (_, index) => ({
    id: `engine-${index}`,
    role: 'server' as const,
    pool: `pool-${index % FLEET.pools}`,
    ...createLocation(index),
  }));
  return [...entryHosts, ...servers];
};

const startDirectory = (): ServerDirectory => {
  const hosts = createHostList();
  return createServerDirectory({ clock: createSystemClock(), hostList: { hosts: () => hosts, changes: NEVER } });
};

/** Measures one choice that starts from the whole host list, for each pool in turn. */
const measureFleetChoice = (seed: number) => {
  const directory = startDirectory();
  const random = createRandomSource(seed, 1);
  const request = { ...REQUEST, failureDomain: 'domain-0', region: 'region-0' };
  const times = timeChoices((index) => {
    chooseServer(directory.viewPool(`pool-${index % FLEET.pools}`), request, random);
  });
  directory.close();
  return times;
};

/** Measures the heap that the built items retain, in bytes per item. */
const measureMemory = (build: () => unknown): number => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  return kept === undefined ? 0 : bytes / MEMORY_ITEMS;
};

const buildLimiter = () => {
  const limiter = createLimiter();
  const limits = { requestsPerSecond: 5, tokensPerSecond: 2_000 };
  Array.from({ length: MEMORY_ITEMS }, (_, index) => limiter.reserve(`organisation-${index}`, limits, 64, index));
  return limiter;
};

/** Measures the time of a choice among 8, 32 and 160 servers and with a full host list, and the memory per server and organisation. */
const runDecisionTime: BenchRun = async ({ seeds }) => {
  const fleet = measureFleetChoice(seeds[0] ?? 1);
  const choices = POOL_SIZES.map((poolSize) => measureChoice(poolSize, seeds[0] ?? 1));
  const servers = createServers(MEMORY_ITEMS);
  const serverBytes = measureMemory(() => fillTracker(servers));
  const organisationBytes = measureMemory(buildLimiter);
  const rows = choices.map(({ poolSize, p50Us, p99Us }) => [String(poolSize), p50Us.toFixed(1), p99Us.toFixed(1)]);
  const { servers: listed, pools } = FLEET;
  rows.push([`${listed} in ${pools} pools`, fleet.p50Us.toFixed(1), fleet.p99Us.toFixed(1)]);
  const memory = `memory: ${serverBytes.toFixed(0)} B a server, ${organisationBytes.toFixed(0)} B an organisation`;
  const table = `${formatRows([['servers', 'p50 µs', 'p99 µs'], ...rows])}\n${memory}`;
  return { table, json: { choices, fleet, serverBytes, organisationBytes } };
};

export default runDecisionTime;
