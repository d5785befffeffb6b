/** Admission and placement of the requests of a region. */
export type * from './types.js';
export { default as createEngineBook } from './createEngineBook.js';
export type { EngineBook, EngineChoice, EngineDescription, EngineEvent, GenerationNeed } from './createEngineBook.js';
export { default as createWorkLedger } from './createWorkLedger.js';
export type { WorkLedger } from './createWorkLedger.js';
export { default as decideEntry } from './decideEntry.js';
export type { EntryOutlook } from './decideEntry.js';
export { default as predictPipeline } from './predictPipeline.js';
export type { PipelineOutlook } from './predictPipeline.js';
