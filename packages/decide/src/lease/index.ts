/** Leases of the store, from the view of their holder. */
export * from './types.js';
export { LEASE_MARGIN_RATIO } from './constants.js';
export { default as advanceLease } from './advanceLease.js';
export { default as isLeaseHeld } from './isLeaseHeld.js';
