import type { Clock, Timer } from '@bergamotcove/clock';

/** Servers that have asked this host to send no requests for a time. */
export interface ServerBackoffs {
  /** Starts or extends the back-off of a server; one that ends earlier than the current one changes nothing. */
  add(serverId: string, backoffMs: number): void;
  has(serverId: string): boolean;
  /** End of the back-off of a server, monotonic time; -Infinity without one. */
  endMs(serverId: string): number;
  delete(serverId: string): void;
  close(): void;
}

/**
 * Creates an empty set of back-offs.
 *
 * @param clock - clock of the timers
 * @param onEnded - called when a back-off has ended
 * @returns the back-offs; close them to stop their timers
 */
export default function createServerBackoffs(clock: Clock, onEnded: () => void): ServerBackoffs {
  const backoffs = new Map<string, { readonly endMs: number; readonly timer: Timer }>();

  const remove = (serverId: string): void => {
    backoffs.get(serverId)?.timer.close();
    backoffs.delete(serverId);
  };

  return {
    add: (serverId, backoffMs) => {
      const endMs = clock.monotonicMs() + backoffMs;
      if (endMs <= (backoffs.get(serverId)?.endMs ?? -Infinity)) {
        return;
      }
      remove(serverId);
      const timer = clock.schedule(backoffMs, () => {
        backoffs.delete(serverId);
        onEnded();
      });
      backoffs.set(serverId, { endMs, timer });
    },
    has: (serverId) => backoffs.has(serverId),
    endMs: (serverId) => backoffs.get(serverId)?.endMs ?? -Infinity,
    delete: remove,
    close: () => [...backoffs.keys()].forEach(remove),
  };
}
