import type { Clock, Timer } from '@bergamotcove/clock';
import type { ListedHost } from '@bergamotcove/protocol';

/** Servers that said themselves that they are leaving. */
export interface LeavingNotes {
  ids(): ReadonlySet<string>;
  note(serverId: string): void;
  /** Takes a new host list. */
  follow(hosts: readonly ListedHost[]): void;
  close(): void;
}

/**
 * Time for which a server's own word that it is leaving counts against a host list that shows it as live. The list lags,
 * but a server that was restarted under its old name must get work again; one that is still leaving says so again.
 */
export const LEAVING_MEMORY_MS = 60_000;

/**
 * Creates the notes of servers that said that they are leaving.
 *
 * @param clock - time after which a note is forgotten
 * @param onForgotten - called when a note ends by time
 * @returns the notes; close them to stop their timers
 * @example
 * const notes = createLeavingNotes(clock, rebuild);
 * notes.note('engine-3');
 */
export default function createLeavingNotes(clock: Clock, onForgotten: () => void): LeavingNotes {
  const timers = new Map<string, Timer>();
  let listedLeaving: ReadonlySet<string> = new Set();
  const forget = (serverId: string): void => {
    timers.get(serverId)?.close();
    timers.delete(serverId);
  };
  return {
    ids: () => new Set(timers.keys()),
    note: (serverId) => {
      forget(serverId);
      const timer = clock.schedule(LEAVING_MEMORY_MS, () => {
        forget(serverId);
        onForgotten();
      });
      timers.set(serverId, timer);
    },
    follow: (hosts) => {
      const before = listedLeaving;
      listedLeaving = new Set(hosts.filter(({ state }) => state === 'leaving').map(({ id }) => id));
      // The list knew that the server was leaving and shows it as live again, so it has been restarted.
      [...timers.keys()].filter((id) => before.has(id) && !listedLeaving.has(id)).forEach(forget);
    },
    close: () => timers.forEach((timer) => timer.close()),
  };
}
