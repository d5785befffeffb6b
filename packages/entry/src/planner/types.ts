import type { EngineOrder, ModelDemand, PlannerLimits } from '@bergamotcove/decide';
import type { EngineReport, OrderResult } from '@bergamotcove/backends';
import type { Target } from '@bergamotcove/transport';

/** An engine with its address. */
export interface PlannedEngine {
  readonly engineId: string;
  readonly target: Target;
  readonly leaving: boolean;
}

/** A pool whose engines are planned. */
export interface PlannedPool {
  readonly pool: string;
  readonly engines: readonly PlannedEngine[];
  /** Models that documents in force name. */
  readonly models: readonly Omit<ModelDemand, 'openRequests'>[];
}

/** An order with the fencing number of the planner's lease. */
export interface FencedOrder {
  readonly fencingNumber: number;
  readonly order: EngineOrder;
}

/** What the planner reads from and does to engines. */
export interface EnginePort {
  read(engine: PlannedEngine): Promise<EngineReport>;
  /** `maySend` is asked just before the first byte is sent. */
  give(engine: PlannedEngine, order: FencedOrder, maySend: () => boolean): Promise<OrderResult>;
}

/** Where the planner learns the pools, and whether this host should compete for one. */
export interface PlannerSources {
  readonly listPools: () => readonly PlannedPool[];
  readonly isCandidate: (pool: string) => boolean;
  readonly limits: PlannerLimits;
}
