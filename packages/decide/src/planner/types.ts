/** Part of generation that an engine runs. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** One order to an engine. Each names the wanted state, so that giving it twice changes nothing. */
export type EngineOrder =
  | { readonly type: 'load-model'; readonly model: string }
  | { readonly type: 'load-version'; readonly model: string; readonly version: string }
  | { readonly type: 'load-adapter'; readonly adapter: string }
  | { readonly type: 'unload-model'; readonly model: string }
  | { readonly type: 'set-role'; readonly role: EngineRole };

/** An engine as its own read-back shows it. */
export interface EngineView {
  readonly engineId: string;
  readonly leaving: boolean;
  /** Version of each loaded model. */
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: EngineRole;
  /** Orders in progress. */
  readonly loading: readonly EngineOrder[];
}

/** What one model needs. */
export interface ModelDemand {
  readonly model: string;
  /** Any version serves when absent. */
  readonly version?: string;
  readonly adapters: readonly string[];
  /** Requests that run or wait, over all engines of the pool. */
  readonly openRequests: number;
}

/** Bounds of a plan. */
export interface PlannerLimits {
  /** Open requests that one copy of a model serves well. */
  readonly requestsPerCopy: number;
  readonly minCopies: number;
  readonly maxModelsPerEngine: number;
  /** Loads in progress over the pool; the weight store is rate-limited. */
  readonly maxLoads: number;
  /** Share of the engines that run prefill only; zero keeps every engine mixed. */
  readonly prefillShare: number;
}

/** What the planner knows of a pool. */
export interface PlannerInput {
  readonly engines: readonly EngineView[];
  /** Models in use: those that a document in force names. */
  readonly demand: readonly ModelDemand[];
  readonly limits: PlannerLimits;
}

/** State that an engine should reach. */
export interface DesiredEngine {
  readonly engineId: string;
  readonly models: readonly ModelDemand[];
  readonly role: EngineRole;
}

/** An order with its receiver. */
export interface AddressedOrder {
  readonly engineId: string;
  readonly order: EngineOrder;
}

/** Desired states, and the orders that may be given now. */
export interface EnginePlan {
  readonly desired: readonly DesiredEngine[];
  readonly orders: readonly AddressedOrder[];
}
