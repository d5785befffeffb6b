import type { Clock } from '@bergamotcove/clock';
import type { Settings } from '@bergamotcove/config';
import { isPlannerCandidate } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import { sendOrder, readEngine, type StoreClient } from '@bergamotcove/backends';
import type { HttpClient } from '@bergamotcove/transport';
import type { ConfigHolder } from '../config/createConfigHolder.js';
import type { PeerDirectory } from '../peers/types.js';
import type { ServerDirectory } from '../servers/createServerDirectory.js';
import { ENGINE_TIMEOUT_MS } from './constants.js';
import createPlanner, { type Planner } from './createPlanner.js';
import listPlannedPools from './listPlannedPools.js';

/** Components of the host that the planner uses. */
export interface PlannerParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StoreClient;
  readonly http: HttpClient;
  readonly config: ConfigHolder;
  readonly directory: ServerDirectory;
}

/**
 * Starts the planner of engine orders if the settings have a `planner` section.
 *
 * @param parts - components of the host
 * @param peers - live entry hosts
 * @returns the planner; without the section it does nothing
 */
export default function startPlanner(parts: PlannerParts, peers: PeerDirectory): Planner {
  const { settings, http, config, directory } = parts;
  const hostId = settings.host.id;
  if (settings.planner === undefined) {
    return { start: () => undefined, close: () => Promise.resolve() };
  }
  const planner = createPlanner({
    ...parts,
    hostId,
    limits: settings.planner,
    listPools: () => listPlannedPools(config.list(), directory.listPool),
    isCandidate: (pool) =>
      isPlannerCandidate(
        peers.liveHosts().map((host) => host.hostId),
        pool,
        hostId,
      ),
    engines: {
      read: ({ target }) => readEngine(http, target, { timeoutMs: ENGINE_TIMEOUT_MS }),
      sendOrder: ({ target }, order, maySend) =>
        sendOrder(http, target, order, { timeoutMs: ENGINE_TIMEOUT_MS, maySend }),
    },
  });
  planner.start();
  return planner;
}
