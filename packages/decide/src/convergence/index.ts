/** Distribution of the service documents among the entry hosts, which converge on the highest versions. */
export * from './types.js';
export { default as advanceConvergence } from './advanceConvergence.js';
export { default as compareVersions } from './compareVersions.js';
export type { VersionDifference } from './compareVersions.js';
export { default as createConvergenceState } from './createConvergenceState.js';
export { default as hashVersions } from './hashVersions.js';
