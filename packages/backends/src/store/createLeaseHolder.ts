import type { Clock, Timer } from '@bergamotcove/clock';
import { advanceLease, isLeaseHeld, type LeaseAction, type LeaseEvent, type LeaseState } from '@bergamotcove/decide';
import type { EraTracker } from './createEraTracker.js';
import type { Compare, StoreClient, StoreOp } from './types.js';

/** Options of {@link createLeaseHolder}. */
export interface LeaseHolderOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly ttlMs: number;
  /** Key that is bound to the lease. The lease counts as held only if this holder created the key. */
  readonly key?: {
    readonly key: string;
    readonly value: string;
    /** Whether no other holder uses the key, so that it is created without reading it first. */
    readonly exclusive?: boolean;
  };
  /** Era of the store; a lease of an earlier era is dropped. */
  readonly eras?: EraTracker;
  /** Called when a call to the store fails. */
  readonly onFailed?: () => void;
  /** Called when the lease may have expired; all work under the lease must stop. */
  readonly onLost?: (leaseId: string) => void;
}

/** Acquires one lease of the store and keeps it renewed. */
export interface LeaseHolder {
  /** Id of the lease while it is certainly valid; check it before each action under the lease. */
  heldLeaseId(): string | undefined;
  /** Whether the lease is certainly valid, by the monotonic clock of the holder. */
  isHeld(): boolean;
  /** Fencing token: the revision at which the key of the lease was created, or zero. It grows with each holder. */
  fencingNumber(): number;
  /** Starts a timer that acquires and renews the lease. */
  start(): void;
  /** Acquires or renews the lease now. Rejects when the store does not answer; a held lease then stays valid. */
  renew(): Promise<void>;
  /** Releases the lease, so that another holder can create its key immediately. */
  release(): Promise<void>;
  /** Stops the timer and releases the lease. */
  close(): Promise<void>;
}

/** Interval of the timer: a fraction of the shortest time to live, which is one second. */
const CHECK_MS = 100;

class StoreLeaseHolder implements LeaseHolder {
  private state: LeaseState = { type: 'none', retryMs: -Infinity };

  private fencing = 0;

  private timer: Timer | undefined;

  private closed = false;

  /** Whether an exclusive key may exist under an old lease that the store has lost or restored, and may be replaced. */
  private mayReplaceKey = false;

  constructor(
    private readonly store: StoreClient,
    private readonly options: LeaseHolderOptions,
  ) {
    options.eras?.onEvent(({ type }) => {
      if (type === 'advanced') {
        this.fencing = 0;
        this.mayReplaceKey = true;
        this.handle({ type: 'forgotten' }).catch(() => undefined);
      }
    });
  }

  heldLeaseId(): string | undefined {
    const { state } = this;
    return isLeaseHeld(state, this.options.clock.monotonicMs()) && state.type === 'held' ? state.leaseId : undefined;
  }

  isHeld(): boolean {
    return this.heldLeaseId() !== undefined;
  }

  fencingNumber(): number {
    return this.fencing;
  }

  start(): void {
    this.handle({ type: 'tick' }).catch(() => undefined);
    this.timer = this.options.clock.schedule(CHECK_MS, () => {
      if (!this.closed) {
        this.start();
      }
    });
  }

  renew(): Promise<void> {
    return this.handle({ type: 'requested' });
  }

  async release(): Promise<void> {
    const { state } = this;
    this.state = { type: 'none', retryMs: this.closed ? Infinity : this.options.clock.monotonicMs() };
    this.fencing = 0;
    if (state.type === 'held') {
      await this.releaseLease(state.leaseId);
    }
  }

  async close(): Promise<void> {
    this.closed = true;
    this.timer?.close();
    await this.release().catch(() => undefined);
  }

  /** Advances the state and performs the resulting actions; rejects when a call to the store fails. */
  private async handle(event: LeaseEvent): Promise<void> {
    if (this.closed) {
      return;
    }
    const { clock, random } = this.options;
    const { state, actions } = advanceLease(this.state, event, clock.monotonicMs(), random);
    this.state = state;
    await Promise.all(actions.map((action) => this.perform(action)));
  }

  private async perform(action: LeaseAction): Promise<void> {
    if (action.type === 'lost') {
      this.fencing = 0;
      this.options.onLost?.(action.leaseId);
      if (this.options.key !== undefined) {
        // The key may outlive the safety margin, and would prevent this holder from creating it again.
        this.releaseLease(action.leaseId).catch(() => undefined);
      }
      return;
    }
    try {
      await (action.type === 'renew' ? this.renewLease(action.leaseId) : this.acquireLease());
    } catch (cause) {
      this.options.onFailed?.();
      await this.handle({ type: 'failed' });
      throw cause;
    }
  }

  private async renewLease(leaseId: string): Promise<void> {
    const startedMs = this.options.clock.monotonicMs();
    const remainingMs = await this.store.keepAlive(leaseId);
    await this.handle({ type: 'renewed', leaseId, startedMs, ttlMs: remainingMs });
  }

  private async acquireLease(): Promise<void> {
    const { clock, key, ttlMs } = this.options;
    if (key !== undefined && key.exclusive !== true && (await this.store.get(key.key)) !== undefined) {
      await this.handle({ type: 'failed' });
      return;
    }
    const startedMs = clock.monotonicMs();
    const leaseId = await this.store.grantLease(ttlMs);
    const { era } = this;
    const fencing = await this.createKey(leaseId, era);
    if (fencing === undefined) {
      await this.revoke(leaseId, era);
      await this.handle({ type: 'failed' });
      return;
    }
    this.fencing = fencing;
    await this.handle({ type: 'granted', leaseId, startedMs, ttlMs });
    if (this.heldLeaseId() !== leaseId) {
      // The holder released the lease in the meantime, or the grant took too long.
      this.fencing = 0;
      await this.revoke(leaseId, era);
    }
  }

  private get era(): number {
    return this.options.eras?.era ?? 0;
  }

  /** Revokes a lease, unless the era has changed: its id may then belong to another holder. */
  private async revoke(leaseId: string, era: number): Promise<void> {
    if (era === this.era) {
      await this.store.revokeLease(leaseId);
    }
  }

  /** Releases the lease. An exclusive key is deleted by name, because the store may have lost the lease undetected. */
  private async releaseLease(leaseId: string): Promise<void> {
    const { key } = this.options;
    if (key?.exclusive === true) {
      await this.store.txn([], [{ type: 'delete', key: key.key }]);
    } else {
      await this.store.revokeLease(leaseId);
    }
  }

  /** Creates the key of the lease. Returns its revision, or undefined when the key exists already. */
  private async createKey(leaseId: string, era: number): Promise<number | undefined> {
    const { key } = this.options;
    if (key === undefined) {
      return 0;
    }
    const put: StoreOp = { type: 'put', key: key.key, value: key.value, leaseId };
    const replaces = key.exclusive === true && this.mayReplaceKey;
    const isFree: Compare = { type: 'create-revision', key: key.key, revision: '0' };
    try {
      const result = await this.store.txn(replaces ? [] : [isFree], [put]);
      return result.succeeded ? Number(result.revision) : undefined;
    } catch (cause) {
      // The key may have been created. Revoking the lease removes it; if that fails too, it expires with the lease.
      this.revoke(leaseId, era).catch(() => undefined);
      throw cause;
    }
  }
}

/**
 * Creates a holder of a lease of the store. By its own monotonic clock, the holder treats the lease as lost some margin
 * before it expires in the store. With a key, at most one holder has the lease of that key, and the creation revision of
 * the key is the fencing number.
 *
 * @param store - store client
 * @param options - clock, time to live and callbacks
 * @returns the holder; it makes no call before `start` or `renew`
 * @example
 * const holder = createLeaseHolder(store, { clock, random: Math.random, ttlMs: 10_000 });
 */
export default function createLeaseHolder(store: StoreClient, options: LeaseHolderOptions): LeaseHolder {
  return new StoreLeaseHolder(store, options);
}
