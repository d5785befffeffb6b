import type { Clock } from '@bergamotcove/clock';
import type { StoreClient } from '@bergamotcove/platform';
import { LEASE_MARGIN_MS, LEASE_TTL_MS, PLANNER_PREFIX } from './constants.js';

/** The lease of one pool's planner. */
export interface PoolLease {
  /** Renews the lease, or tries to get it. Rejects when the store does not answer; a held lease then runs on. */
  renew(): Promise<void>;
  /** Whether this host may give orders now, by its monotonic clock. */
  isHeld(): boolean;
  /** Revision of the lease key; grows with each holder. */
  fencingNumber(): number;
  /** Gives the lease back, so that another host can take it at once. */
  release(): Promise<void>;
}

/** A lease that was granted. */
interface Held {
  readonly leaseId: string;
  readonly fencingNumber: number;
  /** Counted from before the call that granted or renewed it, on the monotonic clock. */
  readonly endsAtMs: number;
}

/** Lease on a key that exists only as long as its holder renews it. */
class KeyLease implements PoolLease {
  private held: Held | undefined;

  constructor(
    private readonly options: { readonly clock: Clock; readonly store: StoreClient; readonly hostId: string },
    private readonly pool: string,
  ) {}

  isHeld(): boolean {
    return this.held !== undefined && this.options.clock.monotonicMs() < this.held.endsAtMs - LEASE_MARGIN_MS;
  }

  fencingNumber(): number {
    return this.held?.fencingNumber ?? 0;
  }

  async renew(): Promise<void> {
    if (this.held === undefined) {
      await this.acquire();
      return;
    }
    const startedAtMs = this.options.clock.monotonicMs();
    const remainingMs = await this.options.store.keepAlive(this.held.leaseId);
    this.held = remainingMs > 0 ? { ...this.held, endsAtMs: startedAtMs + remainingMs } : undefined;
  }

  async release(): Promise<void> {
    const { held } = this;
    this.held = undefined;
    if (held !== undefined) {
      await this.options.store.revokeLease(held.leaseId);
    }
  }

  private async acquire(): Promise<void> {
    const { clock, store, hostId } = this.options;
    const key = PLANNER_PREFIX + this.pool;
    if ((await store.get(key)) !== undefined) {
      return;
    }
    const startedAtMs = clock.monotonicMs();
    const leaseId = await store.grantLease(LEASE_TTL_MS);
    try {
      const result = await store.txn(
        [{ type: 'create-revision', key, revision: '0' }],
        [{ type: 'put', key, value: hostId, leaseId }],
      );
      if (result.succeeded) {
        this.held = { leaseId, fencingNumber: Number(result.revision), endsAtMs: startedAtMs + LEASE_TTL_MS };
        return;
      }
    } catch (cause) {
      // The key may exist; giving the lease back removes it, and otherwise it lapses by itself.
      store.revokeLease(leaseId).catch(() => undefined);
      throw cause;
    }
    await store.revokeLease(leaseId);
  }
}

/**
 * Creates the lease of a pool's planner.
 *
 * @param options - clock, store and this host
 * @param pool - name of the pool
 * @returns the lease, not yet held
 */
export default function createPoolLease(
  options: { readonly clock: Clock; readonly store: StoreClient; readonly hostId: string },
  pool: string,
): PoolLease {
  return new KeyLease(options, pool);
}
