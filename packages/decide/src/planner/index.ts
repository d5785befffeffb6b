/** Planning of the models, versions, adapters and roles of engines. */
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
