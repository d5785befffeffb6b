/** Load generator, fault matrix, trace replay and quickstart. */
export { DEPLOYMENTS } from './deployment/deployments.js';
export type { DeploymentSpec } from './deployment/types.js';
