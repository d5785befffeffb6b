import type { Clock } from '@bergamotcove/clock';
import { chooseServer, findContinuers, isPermitted, type Choice, type ServerView } from '@bergamotcove/decide';
import { reportReaderFault, type Logger } from '@bergamotcove/log';
import { createHttpClient, type HttpClient } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { ServerLoadFacts } from '../ports.js';
import type { Residency } from '../residency/createResidency.js';
import type { ForwardRequest } from '../requests/types.js';

/** An attempt that needs a server. */
export interface PlacementRequest {
  readonly request: ForwardRequest;
  readonly pool: string;
  /** Server that the scheduler assigned, if any. */
  readonly serverId?: string | undefined;
  /** Whether the request may be sent there although the server has a rate limit. */
  readonly permitted: boolean;
  /** Servers that failed this request and are avoided. */
  readonly avoidServers: readonly string[];
  /** Version that the server must have; undefined when any will do. */
  readonly softwareVersion?: string | undefined;
  /** Work of the attempt: tokens to generate, or 1 for other requests. */
  readonly tokens: number;
  readonly prefillTokens: number;
}

/** Chooses servers for attempts and keeps the connections to them. */
export interface ServerPools {
  choose(placement: PlacementRequest): Choice | undefined;
  /** HTTP client that holds the connections to a pool. */
  clientOf(pool: string): HttpClient;
  noteLoad(serverId: string, load: ServerLoadFacts): void;
  /** Typical time of one unit of work in a pool, in milliseconds. */
  typicalUnitMs(pool: string): number;
  close(): void;
}

/** Options of {@link createServerPools}. */
export interface ServerPoolsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'closedUntilMs'>;
  readonly tables: RouteTableHolder;
  readonly hosts: HostRegistry;
  readonly residency: Pick<Residency, 'findRegions'>;
  readonly failureDomain: string;
  readonly region: string;
}

/** Share of a server's connections that the hosts divide; the rest is for restarted hosts. */
const CONNECTION_SHARE = 0.8;
/** Idle connections are closed after this time unless the server closes them first. */
const IDLE_LIMIT_MS = 30_000;

/** Limit on the concurrent attempts of this host at one server of a pool. */
const limitAttempts = (pool: string, { tables, hosts }: Pick<ServerPoolsOptions, 'tables' | 'hosts'>): number => {
  const limit = tables.current()?.pools.get(pool)?.maxConnections ?? Infinity;
  return Math.max(1, Math.floor((limit * CONNECTION_SHARE) / hosts.list().length));
};

/** Chooses the assigned server, or one that may get the attempt now. */
const choose = (placement: PlacementRequest, options: ServerPoolsOptions): Choice | undefined => {
  const { clock, directory, limits, residency, failureDomain, region } = options;
  const { request, pool, serverId, permitted, avoidServers, softwareVersion, tokens, prefillTokens } = placement;
  const view = directory.view(pool);
  const regions = residency.findRegions(request);
  const usable = (
    softwareVersion === undefined ? view.servers : findContinuers(view.servers, { pool, softwareVersion })
  ).filter((server) => isPermitted(regions, server.region));
  const nowMs = clock.monotonicMs();
  const isAssigned = (server: ServerView): boolean => server.serverId === serverId;
  const isOpen = (server: ServerView): boolean =>
    limits.closedUntilMs(server.serverId) <= nowMs || (permitted && isAssigned(server));
  const open = usable.filter(isOpen);
  const assigned = open.find(isAssigned);
  if (assigned !== undefined && !avoidServers.includes(assigned.serverId)) {
    return { type: 'send', server: assigned, predictedMs: 0, crossRegion: assigned.region !== region };
  }
  const limit = limitAttempts(pool, options);
  const servers = open.filter((server: ServerView) => server.outstanding < limit);
  if (servers.length === 0 && open.length > 0) {
    return { type: 'wait' };
  }
  return chooseServer(
    { ...view, servers },
    {
      tokens,
      prefillTokens,
      long: false,
      remainingMs: request.deadlineAtMs - nowMs,
      avoidServers,
      failureDomain,
      region,
      crossRegionAllowed: true,
      nowMs,
    },
    Math.random,
  );
};

/**
 * Creates the server choice for attempts.
 *
 * @param options - server directory, route tables, hosts, and the location of this host
 * @returns the pools; close them to close their connections
 */
export default function createServerPools(options: ServerPoolsOptions): ServerPools {
  const { clock, logger, directory, hosts } = options;
  const onFault = (error: Error): void => reportReaderFault(logger, error);
  const clients = new Map<string, HttpClient>();

  return {
    choose: (placement) => choose(placement, options),
    clientOf: (pool) => {
      const client = clients.get(pool) ?? createHttpClient({ idleLimitMs: IDLE_LIMIT_MS, onFault });
      clients.set(pool, client);
      return client;
    },
    noteLoad: (serverId, load) => {
      const nowMs = clock.monotonicMs();
      const report = { running: load.running, queued: load.waiting, tokensPerSecond: 0, reportedAtMs: nowMs };
      directory.noteReport(serverId, report, hosts.list().length);
    },
    typicalUnitMs: (pool) => directory.view(pool).msPerToken,
    close: () => clients.forEach((client) => client.close()),
  };
}
