/** Base class of the errors of each layer, and helpers for caught values and exhaustive switches. */
export { default as LayerError, toError } from './LayerError.js';
export type { LayerErrorOptions } from './LayerError.js';
export { default as exhaustive } from './exhaustive.js';
