/** Base of the layer errors and helpers for exhaustive switches. */
export { default as LayerError, toError } from './LayerError.js';
export type { LayerErrorOptions } from './LayerError.js';
export { default as exhaustive } from './exhaustive.js';
