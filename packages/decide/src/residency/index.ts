/** Regions that may serve a request. */
export { default as chooseRegion } from './chooseRegion.js';
export { default as findPermittedRegions } from './findPermittedRegions.js';
export { default as isPermitted } from './isPermitted.js';
export { default as reviewResidency } from './reviewResidency.js';
