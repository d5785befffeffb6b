/** Part of generation that an engine runs. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** One order to an engine. Each states the desired state, so orders are idempotent. */
export type EngineOrder =
  | { readonly type: 'load-model'; readonly model: string }
  | { readonly type: 'load-version'; readonly model: string; readonly version: string }
  | { readonly type: 'load-adapter'; readonly adapter: string }
  | { readonly type: 'unload-model'; readonly model: string }
  | { readonly type: 'set-role'; readonly role: EngineRole };

/** State of an engine as it reports it. */
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

/** Demand for one model. */
export interface ModelDemand {
  readonly model: string;
  /** Wanted version; any version if absent. */
  readonly version?: string;
  readonly adapters: readonly string[];
  /** Running and waiting requests over all engines of the pool. */
  readonly openRequests: number;
}

/** Limits of a plan. */
export interface PlannerLimits {
  /** Open requests for which one copy of a model is planned. */
  readonly requestsPerCopy: number;
  readonly minCopies: number;
  readonly maxModelsPerEngine: number;
  /** Most concurrent loads in the pool; the weight store is rate-limited. */
  readonly maxLoads: number;
  /** Share of the engines that run only prefill; zero keeps every engine mixed. */
  readonly prefillShare: number;
}

/** State of a pool from which its engines are planned. */
export interface PlannerInput {
  readonly engines: readonly EngineView[];
  /** Demand for the models in use, which are those that a service document in force names. */
  readonly demand: readonly ModelDemand[];
  readonly limits: PlannerLimits;
}

/** State that an engine should reach. */
export interface DesiredEngine {
  readonly engineId: string;
  readonly models: readonly ModelDemand[];
  readonly role: EngineRole;
}

/** An order and the engine that receives it. */
export interface AddressedOrder {
  readonly engineId: string;
  readonly order: EngineOrder;
}

/** Desired states of the engines, and the orders that may be sent now. */
export interface EnginePlan {
  readonly desired: readonly DesiredEngine[];
  readonly orders: readonly AddressedOrder[];
}
