/** Assignment of duties to hosts. */
export { default as rankByCapacity } from './rankByCapacity.js';
export type { DutyCandidate } from './rankByCapacity.js';
export { default as rateCapacity } from './rateCapacity.js';
export type { HostResources } from './rateCapacity.js';
