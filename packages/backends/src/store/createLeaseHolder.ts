import type { Clock, Timer } from '@bergamotcove/clock';
import { advanceLease, isLeaseHeld, type LeaseAction, type LeaseEvent, type LeaseState } from '@bergamotcove/decide';
import type { EraTracker } from './createEraTracker.js';
import type { Compare, StoreClient, StoreOp } from './types.js';

/** Options of {@link createLeaseHolder}. */
export interface LeaseHolderOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly ttlMs: number;
  /** Key that exists only as long as its lease; a lease whose key another holder has is not held. */
  readonly key?: {
    readonly key: string;
    readonly value: string;
    /** Whether no other holder ever uses the key, so that it need not be looked at before it is taken. */
    readonly exclusive?: boolean;
  };
  /** Era of the store; leases of an earlier one are not used any more. */
  readonly eras?: EraTracker;
  /** Called when the store did not take or answer a call. */
  readonly onFailed?: () => void;
  /** Called when the lease may have lapsed; everything that depends on it stops. */
  readonly onLost?: (leaseId: string) => void;
}

/** Keeps one lease of the store. */
export interface LeaseHolder {
  /** Id of the lease while it certainly stands; ask before each action under the lease. */
  heldId(): string | undefined;
  /** Whether the lease certainly stands, by the holder's monotonic clock. */
  isHeld(): boolean;
  /** Revision at which the key of the lease was created, zero without one; it grows with each holder. */
  fencingNumber(): number;
  /** Gets and renews the lease on a timer of its own. */
  start(): void;
  /** Gets or renews the lease once, now. Rejects when the store does not answer; a held lease then runs on. */
  renew(): Promise<void>;
  /** Gives the lease back, so that another holder can take its key at once. */
  release(): Promise<void>;
  /** Revokes the lease and stops. */
  close(): Promise<void>;
}

/** Interval of the check; a fraction of the shortest time to live, one second. */
const CHECK_MS = 100;

class StoreLeaseHolder implements LeaseHolder {
  private state: LeaseState = { type: 'none', retryMs: -Infinity };

  private fencing = 0;

  private timer: Timer | undefined;

  private closed = false;

  /** Whether an exclusive key may stand there under a lease that the store has forgotten or brought back. */
  private mayReplace = false;

  constructor(
    private readonly store: StoreClient,
    private readonly options: LeaseHolderOptions,
  ) {
    options.eras?.onEvent(({ type }) => {
      if (type === 'advanced') {
        this.fencing = 0;
        this.mayReplace = true;
        this.handle({ type: 'forgotten' }).catch(() => undefined);
      }
    });
  }

  heldId(): string | undefined {
    const { state } = this;
    return isLeaseHeld(state, this.options.clock.monotonicMs()) && state.type === 'held' ? state.leaseId : undefined;
  }

  isHeld(): boolean {
    return this.heldId() !== undefined;
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
      await this.giveBack(state.leaseId);
    }
  }

  async close(): Promise<void> {
    this.closed = true;
    this.timer?.close();
    await this.release().catch(() => undefined);
  }

  /** Advances the state and makes the call that follows; rejects when the call fails. */
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
        // The key may outlive the margin, and would keep this holder from taking it again.
        this.giveBack(action.leaseId).catch(() => undefined);
      }
      return;
    }
    try {
      await (action.type === 'renew' ? this.prolong(action.leaseId) : this.grant());
    } catch (cause) {
      this.options.onFailed?.();
      await this.handle({ type: 'failed' });
      throw cause;
    }
  }

  private async prolong(leaseId: string): Promise<void> {
    const startedMs = this.options.clock.monotonicMs();
    const remainingMs = await this.store.keepAlive(leaseId);
    await this.handle({ type: 'renewed', leaseId, startedMs, ttlMs: remainingMs });
  }

  private async grant(): Promise<void> {
    const { clock, key, ttlMs } = this.options;
    if (key !== undefined && key.exclusive !== true && (await this.store.get(key.key)) !== undefined) {
      await this.handle({ type: 'failed' });
      return;
    }
    const startedMs = clock.monotonicMs();
    const leaseId = await this.store.grantLease(ttlMs);
    const { era } = this;
    const fencing = await this.takeKey(leaseId, era);
    if (fencing === undefined) {
      await this.revoke(leaseId, era);
      await this.handle({ type: 'failed' });
      return;
    }
    this.fencing = fencing;
    await this.handle({ type: 'granted', leaseId, startedMs, ttlMs });
    if (this.heldId() !== leaseId) {
      // The holder gave the lease up, or the grant took too long.
      this.fencing = 0;
      await this.revoke(leaseId, era);
    }
  }

  private get era(): number {
    return this.options.eras?.era ?? 0;
  }

  /** Revokes a lease, unless its id may be another holder's by now. */
  private async revoke(leaseId: string, era: number): Promise<void> {
    if (era === this.era) {
      await this.store.revokeLease(leaseId);
    }
  }

  /** Gives up what the lease holds. An exclusive key is deleted by name: the store may have forgotten the lease unnoticed. */
  private async giveBack(leaseId: string): Promise<void> {
    const { key } = this.options;
    if (key?.exclusive === true) {
      await this.store.txn([], [{ type: 'delete', key: key.key }]);
    } else {
      await this.store.revokeLease(leaseId);
    }
  }

  /** Creates the key of the lease. Returns its revision, or undefined when another holder has the key. */
  private async takeKey(leaseId: string, era: number): Promise<number | undefined> {
    const { key } = this.options;
    if (key === undefined) {
      return 0;
    }
    const put: StoreOp = { type: 'put', key: key.key, value: key.value, leaseId };
    const replaces = key.exclusive === true && this.mayReplace;
    const isFree: Compare = { type: 'create-revision', key: key.key, revision: '0' };
    try {
      const result = await this.store.txn(replaces ? [] : [isFree], [put]);
      return result.succeeded ? Number(result.revision) : undefined;
    } catch (cause) {
      // The key may exist; giving the lease back removes it, and otherwise it lapses by itself.
      this.revoke(leaseId, era).catch(() => undefined);
      throw cause;
    }
  }
}

/**
 * Keeps a lease of the store. The holder fences itself on its own monotonic clock, with a margin before the store lets
 * the lease lapse. With a key, at most one holder has the lease of that key, and the key carries a fencing number.
 *
 * @param store - store client
 * @param options - clock, time to live and what to do on loss
 * @returns the holder; nothing happens before `start` or `renew`
 * @example
 * const holder = createLeaseHolder(store, { clock, random: Math.random, ttlMs: 10_000 });
 */
export default function createLeaseHolder(store: StoreClient, options: LeaseHolderOptions): LeaseHolder {
  return new StoreLeaseHolder(store, options);
}
