import type { Clock } from '@bergamotcove/clock';
import type { Settings } from '@bergamotcove/config';
import type { Logger } from '@bergamotcove/log';
import { fetchLoad } from '@bergamotcove/backends';
import type { Tracer } from '@bergamotcove/telemetry';
import { createDomainTracker } from '@bergamotcove/decide';
import type { HttpClient } from '@bergamotcove/transport';
import createAdmissionGate, { type AdmissionGate } from '../admission/createAdmissionGate.js';
import type { ConfigHolder } from '../config/createConfigHolder.js';
import type { PeerDirectory } from '../peers/types.js';
import createDispatcher, { type Dispatcher } from '../requests/createDispatcher.js';
import createEstimates, { type Estimates } from './createEstimates.js';
import createLoadReports, { type SummaryLink } from './createLoadReports.js';
import createPoolQueues from './createPoolQueues.js';
import createPrefixHints from './createPrefixHints.js';
import type { ServerDirectory } from './createServerDirectory.js';
import createServiceBudgets from './createServiceBudgets.js';

/** Parts of the host on which routing depends. */
export interface RoutingBase {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly http: HttpClient;
  readonly tracer: Tracer;
  readonly directory: ServerDirectory;
  readonly config: ConfigHolder;
}

/** Live entry hosts, which share limits and servers, and the link that carries load summaries to them. */
export interface RoutingPeers extends PeerDirectory {
  membership(): SummaryLink | undefined;
}

/** Timeout of a load poll; well under the shortest interval between reports. */
const LOAD_TIMEOUT_MS = 400;

/** Admission, queues and dispatch of this host. */
export interface Routing {
  readonly gate: AdmissionGate;
  readonly dispatch: Dispatcher;
  readonly estimates: Estimates;
  /** Number of attempts of this host that wait for a server of the pool. */
  readonly waitingFor: (pool: string) => number;
  close(): void;
}

/**
 * Creates admission, queues, budgets and dispatch, and starts the load reports.
 *
 * @param base - parts of the host on which routing depends
 * @param peers - live entry hosts
 * @returns the parts; close them to stop their timers
 */
export default function createRouting(base: RoutingBase, peers: RoutingPeers): Routing {
  const { clock } = base;
  const { id: hostId, failureDomain, region } = base.settings.host;
  const liveHosts = (): number => peers.liveHosts().length;
  const regionHosts = (): number => peers.liveHosts().filter((host) => host.region === region).length;
  const findDocument = (service: string) => base.config.get(service)?.document;
  const estimates = createEstimates(clock);
  const queues = createPoolQueues(clock);
  const gate = createAdmissionGate({ clock, estimates, queues, liveHosts });
  const reports = createLoadReports({
    ...base,
    random: Math.random,
    self: { hostId, failureDomain, region },
    liveHosts: () => peers.liveHosts(),
    link: () => peers.membership(),
    fetchLoad: (server) => fetchLoad(base.http, server, { timeoutMs: LOAD_TIMEOUT_MS }),
    onReports: () => queues.drainAll(),
  });
  const dispatch = createDispatcher({
    ...base,
    random: Math.random,
    estimates,
    queues,
    prefixes: createPrefixHints({ ...base, estimates, region }),
    domains: createDomainTracker(failureDomain),
    findBudgets: createServiceBudgets({ findDocument, regionHosts }),
    findDocument,
    isOverloaded: () => gate.isOverloaded(),
    failureDomain,
    region,
  });
  reports.start();
  return {
    gate,
    dispatch,
    estimates,
    waitingFor: (pool) => queues.countWaiting(pool),
    close: () => {
      reports.close();
      queues.close();
      gate.close();
    },
  };
}
