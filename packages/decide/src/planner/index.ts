/** Planning of engine orders. */
export type {
  AddressedOrder,
  DesiredEngine,
  EngineOrder,
  EnginePlan,
  EngineRole,
  EngineView,
  ModelDemand,
  PlannerInput,
  PlannerLimits,
} from './types.js';
export { default as isPlannerCandidate } from './isPlannerCandidate.js';
export { default as planEngines } from './planEngines.js';
