import type { Clock, Timer } from '@bergamotcove/clock';
import type { StoreState } from './createStoreState.js';

/** Leases of the store; the keys attached to a lease are deleted when it expires. */
export interface Leases {
  /** Grants a lease and returns its id. */
  grant(ttlMs: number): string;
  /** Renews a lease and returns its time to live in milliseconds; 0 when it has expired. */
  keepAlive(id: string): number;
  /** Revokes a lease and deletes its keys; false when it does not exist. */
  revoke(id: string): boolean;
  close(): void;
}

/**
 * Creates the leases of the store stand-in.
 *
 * @param state - keys of the store
 * @param clock - clock by which leases expire
 * @returns the leases
 */
export default function createLeases(state: StoreState, clock: Clock): Leases {
  const leases = new Map<string, { readonly ttlMs: number; readonly timer: Timer }>();
  const attachedKeys = new Map<string, Set<string>>();
  let nextId = 1;
  const unsubscribe = state.onChange((changes) => {
    changes.forEach((change) => {
      if (change.type === 'put' && change.entry.leaseId !== undefined) {
        attachedKeys.get(change.entry.leaseId)?.add(change.entry.key);
      }
    });
  });

  const revoke = (id: string): boolean => {
    leases.get(id)?.timer.close();
    const existed = leases.delete(id);
    const keys = [...(attachedKeys.get(id) ?? [])].filter((key) => state.get(key)?.leaseId === id);
    attachedKeys.delete(id);
    if (keys.length > 0) {
      state.write(keys.map((key) => ({ type: 'delete', from: key, to: `${key}\0` })));
    }
    return existed;
  };
  const restartTimer = (id: string, ttlMs: number): void => {
    leases.get(id)?.timer.close();
    leases.set(id, { ttlMs, timer: clock.schedule(ttlMs, () => revoke(id)) });
  };
  return {
    revoke,
    grant: (ttlMs) => {
      const id = String(nextId);
      nextId += 1;
      attachedKeys.set(id, new Set());
      restartTimer(id, ttlMs);
      return id;
    },
    keepAlive: (id) => {
      const lease = leases.get(id);
      if (lease === undefined) {
        return 0;
      }
      restartTimer(id, lease.ttlMs);
      return lease.ttlMs;
    },
    close: () => {
      unsubscribe();
      leases.forEach((lease) => lease.timer.close());
    },
  };
}
