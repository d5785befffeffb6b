import type { Clock, Timer } from '@bergamotcove/clock';
import { advanceLease, isLeaseHeld, type LeaseEvent, type LeaseState } from '@bergamotcove/decide';
import type { StoreClient } from './types.js';

/** Options of {@link createLeaseHolder}. */
export interface LeaseHolderOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly ttlMs: number;
  /** Called when the lease may have lapsed; everything that depends on it stops. */
  readonly onLost?: (leaseId: string) => void;
}

/** Keeps one lease of the store. */
export interface LeaseHolder {
  /** Id of the lease while it certainly stands; ask before each action under the lease. */
  heldId(): string | undefined;
  start(): void;
  /** Revokes the lease and stops. */
  close(): Promise<void>;
}

/** Interval of the check; a fraction of the shortest time to live, one second. */
const CHECK_MS = 100;

class StoreLeaseHolder implements LeaseHolder {
  private state: LeaseState = { type: 'none', retryMs: -Infinity };

  private timer: Timer | undefined;

  private closed = false;

  constructor(
    private readonly store: StoreClient,
    private readonly options: LeaseHolderOptions,
  ) {}

  heldId(): string | undefined {
    const { state } = this;
    return isLeaseHeld(state, this.options.clock.monotonicMs()) && state.type === 'held' ? state.leaseId : undefined;
  }

  start(): void {
    this.handle({ type: 'tick' });
    this.timer = this.options.clock.schedule(CHECK_MS, () => {
      if (!this.closed) {
        this.start();
      }
    });
  }

  async close(): Promise<void> {
    this.closed = true;
    this.timer?.close();
    const leaseId = this.heldId();
    this.state = { type: 'none', retryMs: Infinity };
    if (leaseId !== undefined) {
      await this.store.revokeLease(leaseId).catch(() => undefined);
    }
  }

  private handle(event: LeaseEvent): void {
    if (this.closed) {
      return;
    }
    const { clock, random, onLost } = this.options;
    const { state, actions } = advanceLease(this.state, event, clock.monotonicMs(), random);
    this.state = state;
    actions.forEach((action) => {
      if (action.type === 'lost') {
        onLost?.(action.leaseId);
      } else {
        this.call(action.type === 'renew' ? action.leaseId : undefined).catch(() => this.handle({ type: 'failed' }));
      }
    });
  }

  /** Grants a lease, or renews the given one. */
  private async call(leaseId: string | undefined): Promise<void> {
    const { clock, ttlMs } = this.options;
    const startedMs = clock.monotonicMs();
    if (leaseId === undefined) {
      const granted = await this.store.grantLease(ttlMs);
      this.handle({ type: 'granted', leaseId: granted, startedMs, ttlMs });
    } else {
      const remainingMs = await this.store.keepAlive(leaseId);
      this.handle({ type: 'renewed', leaseId, startedMs, ttlMs: remainingMs });
    }
  }
}

/**
 * Keeps a lease of the store. The holder fences itself on its own monotonic clock, with a margin before the store lets
 * the lease lapse.
 *
 * @param store - store client
 * @param options - clock, time to live and what to do on loss
 * @returns the holder; nothing happens before `start`
 * @example
 * const holder = createLeaseHolder(store, { clock, random: Math.random, ttlMs: 10_000 });
 */
export default function createLeaseHolder(store: StoreClient, options: LeaseHolderOptions): LeaseHolder {
  return new StoreLeaseHolder(store, options);
}
