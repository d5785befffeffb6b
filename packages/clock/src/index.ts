/** Clocks in milliseconds: the interface, the system clock and a manual clock. */
export type { Clock, Timer } from './types.js';
export type { ManualClock } from './createManualClock.js';
export { default as createSystemClock } from './createSystemClock.js';
export { default as createManualClock } from './createManualClock.js';
