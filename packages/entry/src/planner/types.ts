import type { EngineOrder, ModelDemand, PlannerLimits } from '@bergamotcove/decide';
import type { EngineReport, OrderResult } from '@bergamotcove/backends';
import type { Target } from '@bergamotcove/transport';

/** An engine of a pool and its address. */
export interface PlannedEngine {
  readonly engineId: string;
  readonly target: Target;
  readonly leaving: boolean;
}

/** A pool whose engines are planned. */
export interface PlannedPool {
  readonly pool: string;
  readonly engines: readonly PlannedEngine[];
  /** Models named by the service documents in force. */
  readonly models: readonly Omit<ModelDemand, 'openRequests'>[];
}

/** An order with the fencing number of the planner's lease. */
export interface FencedOrder {
  readonly fencingNumber: number;
  readonly order: EngineOrder;
}

/** Calls of the planner to engines. */
export interface EnginePort {
  read(engine: PlannedEngine): Promise<EngineReport>;
  /** Sends an order; `maySend` is checked just before the first byte is sent. */
  sendOrder(engine: PlannedEngine, order: FencedOrder, maySend: () => boolean): Promise<OrderResult>;
}

/** Inputs of the planner: pools, limits, and whether this host should compete for the lease of a pool. */
export interface PlannerSources {
  readonly listPools: () => readonly PlannedPool[];
  readonly isCandidate: (pool: string) => boolean;
  readonly limits: PlannerLimits;
}
