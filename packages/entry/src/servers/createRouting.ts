import type { Clock } from '@bergamotcove/clock';
import type { Settings } from '@bergamotcove/config';
import type { Tracer } from '@bergamotcove/telemetry';
import type { HttpClient } from '@bergamotcove/transport';
import createAdmissionGate, { type AdmissionGate } from '../admission/createAdmissionGate.js';
import type { ConfigHolder } from '../config/createConfigHolder.js';
import type { PeerDirectory } from '../peers/types.js';
import createDispatcher, { type Dispatcher } from '../requests/createDispatcher.js';
import createEstimates, { type Estimates } from './createEstimates.js';
import createLoadPoller from './createLoadPoller.js';
import createPoolQueues from './createPoolQueues.js';
import createPrefixHints from './createPrefixHints.js';
import type { ServerDirectory } from './createServerDirectory.js';
import createServiceBudgets from './createServiceBudgets.js';

/** Parts of the host that routing is built from. */
export interface RoutingBase {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly tracer: Tracer;
  readonly directory: ServerDirectory;
  readonly config: ConfigHolder;
}

/** Admission, queues and dispatch of this host. */
export interface Routing {
  readonly gate: AdmissionGate;
  readonly dispatch: Dispatcher;
  readonly estimates: Estimates;
  /** Attempts of this host that wait for a server of the pool. */
  readonly waitingFor: (pool: string) => number;
  close(): void;
}

/**
 * Builds admission, queues, budgets and dispatch, and starts to poll load reports.
 *
 * @param base - parts of the host
 * @param peers - live entry hosts, which share limits and servers
 * @returns the parts; close them to stop their timers
 */
export default function createRouting(base: RoutingBase, peers: PeerDirectory): Routing {
  const { clock } = base;
  const { failureDomain, region } = base.settings.host;
  const liveHosts = (): number => peers.liveHosts().length;
  const regionHosts = (): number => peers.liveHosts().filter((host) => host.region === region).length;
  const findDocument = (service: string) => base.config.get(service)?.document;
  const estimates = createEstimates(clock);
  const queues = createPoolQueues(clock);
  const gate = createAdmissionGate({ clock, estimates, queues, liveHosts });
  const poller = createLoadPoller({ ...base, liveHosts, onReports: () => queues.drainAll() });
  const dispatch = createDispatcher({
    ...base,
    random: Math.random,
    estimates,
    queues,
    prefixes: createPrefixHints({ ...base, estimates, region }),
    findBudgets: createServiceBudgets({ findDocument, regionHosts }),
    findDocument,
    isOverloaded: () => gate.isOverloaded(),
    failureDomain,
    region,
  });
  poller.start();
  return {
    gate,
    dispatch,
    estimates,
    waitingFor: (pool) => queues.waitingFor(pool),
    close: () => {
      poller.close();
      queues.close();
      gate.close();
    },
  };
}
