import type { Clock, Timer } from '@bergamotcove/clock';
import type { ListedHost } from '@bergamotcove/protocol';

/** Servers that have announced themselves that they are leaving. */
export interface LeavingServers {
  ids(): ReadonlySet<string>;
  /** Adds a server that announced that it is leaving, or restarts its retention time. */
  add(serverId: string): void;
  /** Removes the servers that a new host list shows as live after an earlier one showed them as leaving. */
  applyHostList(hosts: readonly ListedHost[]): void;
  close(): void;
}

/**
 * Time for which a server's own leaving notice overrides a host list that shows it as live. The list lags behind, but a
 * server that was restarted under its old name must get work again; one that is still leaving repeats the notice.
 */
export const LEAVING_RETENTION_MS = 60_000;

/**
 * Creates the set of servers that have announced that they are leaving.
 *
 * @param clock - clock that expires the entries
 * @param onExpired - called when an entry expires
 * @returns the set; close it to stop its timers
 * @example
 * const leavingServers = createLeavingServers(clock, rebuildIndex);
 * leavingServers.add('engine-3');
 */
export default function createLeavingServers(clock: Clock, onExpired: () => void): LeavingServers {
  const timers = new Map<string, Timer>();
  let listedLeaving: ReadonlySet<string> = new Set();
  const remove = (serverId: string): void => {
    timers.get(serverId)?.close();
    timers.delete(serverId);
  };
  return {
    ids: () => new Set(timers.keys()),
    add: (serverId) => {
      remove(serverId);
      const timer = clock.schedule(LEAVING_RETENTION_MS, () => {
        remove(serverId);
        onExpired();
      });
      timers.set(serverId, timer);
    },
    applyHostList: (hosts) => {
      const previouslyListed = listedLeaving;
      listedLeaving = new Set(hosts.filter(({ state }) => state === 'leaving').map(({ id }) => id));
      // The earlier list showed the server as leaving and this one shows it as live, so it has been restarted.
      [...timers.keys()].filter((id) => previouslyListed.has(id) && !listedLeaving.has(id)).forEach(remove);
    },
    close: () => timers.forEach((timer) => timer.close()),
  };
}
