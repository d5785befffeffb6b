import type { ServerDescription } from '@bergamotcove/decide';
import createEventQueue, { type EventQueue } from './_lib/createEventQueue.js';
import createHostModel from './host/createHostModel.js';
import type { LoadWorld } from './host/types.js';
import createLink from './model/createLink.js';
import createServerModel, { type ServerModel } from './model/createServerModel.js';
import generateArrivals from './model/generateArrivals.js';
import summariseLoad, { latencyQuantiles, type LoadRun } from './summariseLoad.js';
import type {
  DeploymentModel,
  LoadFault,
  LoadPolicy,
  LoadResult,
  LoadScenario,
  LoadStage,
  RequestRecord,
} from './types.js';

/** Delay after which the host list shows that a server is gone. */
const HOST_LIST_LAG_MS = 2_000;
/** Time after the last arrival in which requests finish. */
const DRAIN_FACTOR = 1.5;

/** Options of {@link runLoad}. */
export interface LoadOptions {
  readonly deployment: DeploymentModel;
  readonly policy: LoadPolicy;
  readonly seed: number;
}

const createServers = (
  scenario: LoadScenario,
  deployment: DeploymentModel,
  events: EventQueue,
): ReadonlyMap<LoadStage, readonly ServerModel[]> =>
  new Map(
    deployment.pools.map((pool) => {
      const servers = Array.from({ length: pool.servers }, (_, index) => {
        const place = deployment.failureDomains[index % deployment.failureDomains.length];
        const description = {
          serverId: `${pool.stage}-${index}`,
          address: '127.0.0.1',
          port: index,
          pool: pool.stage,
          failureDomain: place?.failureDomain ?? '',
          region: place?.region ?? '',
          state: 'live',
        } as const;
        return createServerModel(description, { pool, events, cachedPrefixes: scenario.cachedPrefixes });
      });
      return [pool.stage, servers] as const;
    }),
  );

/** The host list: it drops a crashed server and shows a restored one after its lag. */
const createHostList = (servers: ReadonlyMap<LoadStage, readonly ServerModel[]>) => {
  const hidden = new Set<string>();
  const lists = new Map<LoadStage, readonly ServerDescription[]>();
  const refresh = (): void => {
    servers.forEach((pool, stage) => {
      const visible = pool.filter((server) => !hidden.has(server.description.serverId));
      lists.set(
        stage,
        visible.map((server) => server.description),
      );
    });
  };
  refresh();
  return {
    list: (stage: LoadStage): readonly ServerDescription[] => lists.get(stage) ?? [],
    hide: (serverId: string): void => {
      hidden.add(serverId);
      refresh();
    },
    show: (serverId: string): void => {
      hidden.delete(serverId);
      refresh();
    },
  };
};

const applyFault = (
  fault: LoadFault,
  options: {
    readonly servers: readonly ServerModel[];
    readonly regions: readonly string[];
    readonly events: EventQueue;
    readonly hostList: ReturnType<typeof createHostList>;
  },
): void => {
  const { servers, regions, events, hostList } = options;
  if (fault.type === 'slow') {
    servers[fault.index % servers.length]?.setSlow(fault.factor);
    return;
  }
  const affected = servers.filter((server) => server.description.region === regions[fault.region]);
  affected.forEach((server) => {
    const { serverId } = server.description;
    if (fault.type === 'crash-region') {
      server.crash();
      events.at(fault.atMs + HOST_LIST_LAG_MS, () => hostList.hide(serverId));
    } else {
      server.restore();
      events.at(fault.atMs + HOST_LIST_LAG_MS, () => hostList.show(serverId));
    }
  });
};

const simulate = (scenario: LoadScenario, options: LoadOptions): LoadRun => {
  const { deployment, policy, seed } = options;
  const events = createEventQueue();
  const servers = createServers(scenario, deployment, events);
  const hostList = createHostList(servers);
  const regions = [...new Set(deployment.failureDomains.map((place) => place.region))];
  const byId = new Map([...servers.values()].flat().map((server) => [server.description.serverId, server]));
  const link = createLink(events, deployment.linkBytesPerSecond);
  const records: RequestRecord[] = [];
  let extraEngineTokens = 0;
  const world: LoadWorld = {
    events,
    deployment,
    scenario,
    policy,
    seed,
    link,
    listServers: hostList.list,
    findServer: (serverId) => byId.get(serverId) as ServerModel,
    record: (record) => records.push(record),
    noteExtraWork: (stage, tokens) => {
      extraEngineTokens += stage === 'generate' ? tokens : 0;
    },
  };
  const hosts = Array.from({ length: deployment.entryHosts }, (_, index) => createHostModel(world, index));
  const arrivals = generateArrivals(scenario, deployment, seed);
  arrivals.forEach((arrival) => {
    events.at(arrival.atMs, () => hosts[arrival.hostIndex]?.accept(arrival));
  });
  scenario.faults.forEach((fault) => {
    const pool = servers.get(fault.stage) ?? [];
    events.at(fault.atMs, () => applyFault(fault, { servers: pool, regions, events, hostList }));
  });
  const longestMs = Math.max(...scenario.operations.map((operation) => operation.deadlineMs));
  events.runUntil(scenario.durationMs + longestMs * DRAIN_FACTOR);
  return { scenario, deployment, arrivals, records, servers, link, extraEngineTokens };
};

/**
 * Runs a scenario under one policy and one seed in virtual time.
 *
 * @param scenario - offered load and faults
 * @param options - sizes, policy and seed
 * @returns figures of the run; the same options give the same figures
 * @example
 * const result = runLoad(scenario, { deployment, policy, seed: 1 });
 */
export default function runLoad(scenario: LoadScenario, options: LoadOptions): LoadResult {
  const run = simulate(scenario, options);
  const { figures, timeline } = summariseLoad(run);
  return {
    scenario: scenario.name,
    deployment: options.deployment.name,
    policy: options.policy.name,
    seed: options.seed,
    figures,
    timeline,
    latencyMs: latencyQuantiles(run),
  };
}
