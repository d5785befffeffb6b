import type { Clock, Timer } from '@bergamotcove/clock';
import type { StoreState } from './createStoreState.js';

/** Leases: keys attached to one are deleted when it lapses. */
export interface Leases {
  /** Grants a lease and returns its id. */
  grant(ttlMs: number): string;
  /** Renews a lease and returns its time to live; zero when it has lapsed. */
  keepAlive(id: string): number;
  /** Ends a lease; false when it does not exist. */
  revoke(id: string): boolean;
  close(): void;
}

/**
 * Keeps the leases of the store stand-in.
 *
 * @param state - keys that leases are attached to
 * @param clock - runs the leases out
 * @returns the leases
 */
export default function createLeases(state: StoreState, clock: Clock): Leases {
  const leases = new Map<string, { readonly ttlMs: number; readonly timer: Timer }>();
  const attached = new Map<string, Set<string>>();
  let nextId = 1;
  const stopNoting = state.onChange((changes) => {
    changes.forEach((change) => {
      if (change.type === 'put' && change.entry.leaseId !== undefined) {
        attached.get(change.entry.leaseId)?.add(change.entry.key);
      }
    });
  });

  const revoke = (id: string): boolean => {
    leases.get(id)?.timer.close();
    const existed = leases.delete(id);
    const keys = [...(attached.get(id) ?? [])].filter((key) => state.get(key)?.leaseId === id);
    attached.delete(id);
    if (keys.length > 0) {
      state.write(keys.map((key) => ({ type: 'delete', from: key, to: `${key}\0` })));
    }
    return existed;
  };
  const arm = (id: string, ttlMs: number): void => {
    leases.get(id)?.timer.close();
    leases.set(id, { ttlMs, timer: clock.schedule(ttlMs, () => revoke(id)) });
  };
  return {
    revoke,
    grant: (ttlMs) => {
      const id = String(nextId);
      nextId += 1;
      attached.set(id, new Set());
      arm(id, ttlMs);
      return id;
    },
    keepAlive: (id) => {
      const lease = leases.get(id);
      if (lease === undefined) {
        return 0;
      }
      arm(id, lease.ttlMs);
      return lease.ttlMs;
    },
    close: () => {
      stopNoting();
      leases.forEach((lease) => lease.timer.close());
    },
  };
}
