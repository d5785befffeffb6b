import type { Clock, Timer } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { StoreClient } from '@bergamotcove/backends';
import { ROUND_INTERVAL_MS } from './constants.js';
import createPoolLease, { type PoolLease } from './createPoolLease.js';
import runPlanningRound from './runPlanningRound.js';
import type { EnginePort, PlannedPool, PlannerSources } from './types.js';

/** Options of {@link createPlanner}. */
export interface PlannerOptions extends PlannerSources {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StoreClient;
  readonly hostId: string;
  readonly engines: EnginePort;
}

/** Plans the engines of every pool whose planner lease this host holds. */
export interface Planner {
  start(): void;
  /** Stops planning and releases the leases. */
  close(): Promise<void>;
}

class LeasedPlanner implements Planner {
  private readonly leases = new Map<string, PoolLease>();

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: PlannerOptions) {}

  start(): void {
    this.timer = this.options.clock.schedule(ROUND_INTERVAL_MS, () => {
      this.runRound().finally(() => {
        if (!this.closed) {
          this.start();
        }
      });
    });
  }

  async close(): Promise<void> {
    this.closed = true;
    this.timer?.close();
    await Promise.allSettled([...this.leases.values()].map((lease) => lease.release()));
  }

  private async runRound(): Promise<void> {
    await Promise.all(this.options.listPools().map((pool) => this.runPool(pool)));
  }

  private async runPool(pool: PlannedPool): Promise<void> {
    const lease = this.getLease(pool.pool);
    const wasHeld = lease.isHeld();
    try {
      if (wasHeld || lease.fencingNumber() > 0 || this.options.isCandidate(pool.pool)) {
        await lease.renew();
      }
      this.logChange(pool.pool, lease, wasHeld);
      if (lease.isHeld() && !this.closed) {
        await runPlanningRound(pool, { ...this.options, lease });
      }
    } catch (cause) {
      this.options.logger.event('plannerRoundFailed', { pool: pool.pool, error: String(cause) });
    }
  }

  private logChange(pool: string, lease: PoolLease, wasHeld: boolean): void {
    if (lease.isHeld() !== wasHeld) {
      const fields = { pool, fencingNumber: lease.fencingNumber() };
      this.options.logger.event(lease.isHeld() ? 'plannerStarted' : 'plannerStopped', fields);
    }
  }

  private getLease(pool: string): PoolLease {
    const known = this.leases.get(pool);
    if (known !== undefined) {
      return known;
    }
    const lease = createPoolLease(this.options, pool);
    this.leases.set(pool, lease);
    return lease;
  }
}

/**
 * Creates the planner of engine orders. Only candidates compete for the lease of a pool, so that the number of store
 * calls does not grow with the fleet.
 *
 * @param options - pools, engines, store and limits
 * @returns the planner, not yet started
 */
export default function createPlanner(options: PlannerOptions): Planner {
  return new LeasedPlanner(options);
}
