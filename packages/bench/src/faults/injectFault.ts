import { exhaustive } from '@bergamotcove/errors';
import type { ServerFaultInput, StoreFaultInput } from '@bergamotcove/standins';
import { CLAIMS_PREFIX, PAUSE_MS, SERVER_DOWN_MS } from './constants.js';
import type { Fault, Injection } from './types.js';
import type { WorldServer } from './world/startServers.js';
import type { World, WorldHost } from './world/startWorld.js';

/** Source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** Where a fault is injected. */
export interface InjectOptions {
  readonly random: Random;
  /** Server to which the step belongs, or which the request needs next at a step of the entry host. */
  readonly serverId?: string;
  /** Marker in the input of the request. */
  readonly marker: string;
  /** Index of the next token at a step within a stream; undefined at other steps. */
  readonly tokenIndex?: number;
}

const SLOW_MS = 250;
const LATE_MS = 400;
const STORE_DOWN_MS = 500;
const STORE_LONG_DOWN_MS = 6_000;
const STORE_SLOW_MS = 120;
const CLOCK_STEP_MS = 3_600_000;

const pick = <Item>(items: readonly Item[], random: Random): Item => items[Math.floor(random() * items.length)] as Item;

const findServer = (world: World, options: InjectOptions): WorldServer =>
  world.servers.find((server) => server.serverId === options.serverId) ?? pick(world.servers, options.random);

/** Crashes a host and cuts all its links, so that nothing it still sends reaches other processes. */
const crashHost = (world: World, host: WorldHost): void => {
  world.crashedHosts.add(host.hostId);
  host.process.crash();
  [host.callers, host.store, ...host.peers.values(), ...host.servers.values()].forEach((link) =>
    link.setMode('refuse'),
  );
  world.hosts.forEach((other) => other.peers.get(host.hostId)?.setMode('refuse'));
};

const cutPeers = (a: WorldHost, b: WorldHost): void => {
  a.peers.get(b.hostId)?.setMode('blackhole');
  b.peers.get(a.hostId)?.setMode('blackhole');
};

/** Cuts the failure domain of the host from the hosts and servers of the others; the store stays reachable. */
const cutDomain = (world: World, host: WorldHost): void => {
  const inside = world.hosts.filter((other) => other.failureDomain === host.failureDomain);
  const outside = world.hosts.filter((other) => other.failureDomain !== host.failureDomain);
  inside.forEach((member) => outside.forEach((other) => cutPeers(member, other)));
  world.hosts.forEach((member) =>
    world.servers
      .filter((server) => server.failureDomain !== member.failureDomain)
      .forEach((server) => member.servers.get(server.serverId)?.setMode('blackhole')),
  );
};

/** Cuts one direction: the replies of the peer, or those of the store, do not arrive. */
const cutOneWay = (host: WorldHost, peer: WorldHost, random: Random): void => {
  const link = random() < 0.5 ? host.peers.get(peer.hostId) : host.store;
  link?.setMode('no-replies');
};

const addServerFault = (world: World, options: InjectOptions, fault: ServerFaultInput): void =>
  findServer(world, options).server.addFault(fault);

const startLeaving = (world: World, server: WorldServer): void => {
  world.leavingServers.add(server.serverId);
  server.server.addFault({ type: 'leaving' });
};

const addPoison = (world: World, options: InjectOptions): void => {
  const pool = world.servers.find((server) => server.serverId === options.serverId)?.pool;
  world.servers
    .filter((server) => pool === undefined || server.pool === pool)
    .forEach(({ server }) => server.addFault({ type: 'poison', marker: options.marker, delayMs: SERVER_DOWN_MS }));
};

const setStoreFault = (world: World, fault: StoreFaultInput, durationMs = STORE_DOWN_MS): void => {
  world.store.setFaults([fault]);
  if (fault.times === undefined) {
    world.clock.schedule(durationMs, () => world.store.setFaults([]));
  }
};

const pauseHost = (world: World, host: WorldHost): void => {
  host.process.pause();
  world.clock.schedule(PAUSE_MS, () => host.process.resume());
};

/** Swapping answers needs two requests on one server, so all servers of the kind swap until two requests have met. */
const swapAnswers = (world: World, options: InjectOptions): void => {
  const kind = world.servers.find((server) => server.serverId === options.serverId)?.kind;
  world.servers
    .filter((server) => kind === undefined || server.kind === kind)
    .forEach(({ server }) => server.addFault({ type: 'swapped', times: 2, atToken: options.tokenIndex ?? 0 }));
};

type ServerFaultName = Extract<
  Fault,
  'server-crash' | 'slow' | 'reset' | 'reply-lost' | 'duplicate' | 'late' | 'swapped' | 'leaving' | 'poison'
>;

const SERVER_FAULTS: readonly Fault[] = [
  'server-crash',
  'slow',
  'reset',
  'reply-lost',
  'duplicate',
  'late',
  'swapped',
  'leaving',
  'poison',
] satisfies readonly ServerFaultName[];

const isServerFault = (fault: Fault): fault is ServerFaultName => SERVER_FAULTS.includes(fault);

/** Within a stream only faults that take effect at a token are possible. */
const injectServerFault = (fault: ServerFaultName, world: World, options: InjectOptions): void => {
  const inStream = options.tokenIndex !== undefined;
  const afterExecution = inStream || options.random() < 0.5;
  const common = { times: 1, atToken: options.tokenIndex ?? 0 };
  switch (fault) {
    case 'server-crash': {
      const type = afterExecution ? 'crash-after' : 'crash-before';
      return addServerFault(world, options, { ...common, type, delayMs: SERVER_DOWN_MS });
    }
    case 'slow':
      return addServerFault(world, options, {
        ...common,
        type: inStream ? 'late' : 'slow',
        times: 2,
        delayMs: SLOW_MS,
      });
    case 'reset':
      return addServerFault(world, options, { ...common, type: afterExecution ? 'reset-after' : 'reset-before' });
    case 'reply-lost':
    case 'duplicate':
      return addServerFault(world, options, { ...common, type: fault });
    case 'late':
      return addServerFault(world, options, { ...common, type: 'late', delayMs: LATE_MS });
    case 'swapped':
      return swapAnswers(world, options);
    case 'leaving':
      return startLeaving(world, findServer(world, options));
    case 'poison':
      return addPoison(world, options);
    default:
      return exhaustive(fault);
  }
};

/** Injects a fault of the first entry host, the network or the store. */
const injectHostFault = (fault: Exclude<Fault, ServerFaultName>, world: World, random: Random): void => {
  const [first, second] = world.hosts as readonly [WorldHost, WorldHost, WorldHost];
  switch (fault) {
    case 'entry-crash':
      return crashHost(world, first);
    case 'pause':
      return pauseHost(world, first);
    case 'store-down':
      // Half of the outages outlast the deadline.
      return setStoreFault(world, { type: 'down' }, random() < 0.5 ? STORE_DOWN_MS : STORE_LONG_DOWN_MS);
    case 'store-slow':
      return setStoreFault(world, { type: 'slow', delayMs: STORE_SLOW_MS });
    case 'store-reply-lost':
      return setStoreFault(world, { type: 'reply-lost', times: 1, writePrefix: CLAIMS_PREFIX });
    case 'cut-store':
      return first.store.setMode('blackhole');
    case 'cut-peer':
      return cutPeers(first, second);
    case 'cut-domain':
      return cutDomain(world, first);
    case 'one-way-cut':
      return cutOneWay(first, second, random);
    case 'clock-step':
      return first.process.stepClock(random() < 0.5 ? CLOCK_STEP_MS : -CLOCK_STEP_MS);
    case 'drain':
      first.process.drain().catch(() => undefined);
      return undefined;
    default:
      return exhaustive(fault);
  }
};

/**
 * Injects a fault now. Server faults affect the server that works at the step or is needed next; faults of an entry
 * host affect the host that accepted the first request.
 *
 * @param injection - fault to inject
 * @param world - world of the run
 * @param options - server, marker and token of the step, random numbers
 */
export default function injectFault(injection: Injection, world: World, options: InjectOptions): void {
  const { fault } = injection;
  if (isServerFault(fault)) {
    injectServerFault(fault, world, options);
  } else {
    injectHostFault(fault, world, options.random);
  }
}

/** Ends the lasting faults: partitions, store faults and server faults. Crashed hosts stay crashed. */
export function healWorld(world: World): void {
  world.store.setFaults([]);
  world.servers.forEach(({ server }) => server.setFaults([]));
  if (world.leavingServers.size > 0) {
    // The servers count as restarted under their old ids.
    world.leavingServers.clear();
    world.publishLeavingServers();
  }
  world.hosts
    .filter((host) => !world.crashedHosts.has(host.hostId))
    .forEach((host) => {
      const peers = [...host.peers].filter(([hostId]) => !world.crashedHosts.has(hostId)).map(([, link]) => link);
      [host.store, ...peers, ...host.servers.values()].forEach((link) => link.setMode('pass'));
    });
}
