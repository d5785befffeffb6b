import type { Clock, Timer } from '@bergamotcove/clock';

/** Servers that want no requests from this host for a while. */
export interface RestBook {
  add(serverId: string, restMs: number): void;
  has(serverId: string): boolean;
  /** End of the rest of a server, monotonic time; in the past without one. */
  endMs(serverId: string): number;
  delete(serverId: string): void;
  close(): void;
}

/**
 * Creates an empty book of rests.
 *
 * @param clock - clock of the rests
 * @param onEnded - called when a rest has ended
 * @returns the book; close it to stop its timers
 */
export default function createRestBook(clock: Clock, onEnded: () => void): RestBook {
  const rests = new Map<string, { readonly endMs: number; readonly timer: Timer }>();

  const remove = (serverId: string): void => {
    rests.get(serverId)?.timer.close();
    rests.delete(serverId);
  };

  return {
    add: (serverId, restMs) => {
      const endMs = clock.monotonicMs() + restMs;
      if (endMs <= (rests.get(serverId)?.endMs ?? -Infinity)) {
        return;
      }
      remove(serverId);
      const timer = clock.schedule(restMs, () => {
        rests.delete(serverId);
        onEnded();
      });
      rests.set(serverId, { endMs, timer });
    },
    has: (serverId) => rests.has(serverId),
    endMs: (serverId) => rests.get(serverId)?.endMs ?? -Infinity,
    delete: remove,
    close: () => [...rests.keys()].forEach(remove),
  };
}
