import type { Clock } from '@bergamotcove/clock';
import { createLeaseHolder, type LeaseHolder, type StoreClient } from '@bergamotcove/backends';
import { LEASE_TTL_MS, PLANNER_PREFIX } from './constants.js';

/** The planner lease of one pool; it is renewed once per planning round. */
export type PoolLease = Pick<LeaseHolder, 'isHeld' | 'fencingNumber' | 'renew' | 'release'>;

/**
 * Creates the planner lease of a pool.
 *
 * @param options - clock, store and id of this host
 * @param pool - name of the pool
 * @returns the lease, not yet held
 */
export default function createPoolLease(
  options: { readonly clock: Clock; readonly store: StoreClient; readonly hostId: string },
  pool: string,
): PoolLease {
  const { clock, store, hostId } = options;
  const key = { key: PLANNER_PREFIX + pool, value: hostId };
  return createLeaseHolder(store, { clock, random: Math.random, ttlMs: LEASE_TTL_MS, key });
}
