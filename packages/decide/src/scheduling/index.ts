/** Admission and placement of the requests of a region. */
export type * from './types.js';
export { default as createEngineSelector } from './createEngineSelector.js';
export type {
  EngineSelector,
  EngineChoice,
  EngineDescription,
  EngineEvent,
  GenerationNeed,
} from './createEngineSelector.js';
export { default as createWorkLedger } from './createWorkLedger.js';
export type { RoomOptions, WorkLedger } from './createWorkLedger.js';
export { default as decideEntry, withMinValue } from './decideEntry.js';
export type { EntryOutlook, RankedPools } from './decideEntry.js';
export { default as planPipeline, REGION_HOP_MS } from './planPipeline.js';
export type { PipelineOutlook, PipelinePlan, RegionPools } from './planPipeline.js';
