/** Life cycle of one request as a state machine. */
export * from './types.js';
export { default as advanceRequest } from './advanceRequest.js';
export { default as createRequestState } from './createRequestState.js';
export { default as planRequest } from './planRequest.js';
export type { PlanOptions } from './planRequest.js';
export { MAX_PARALLEL_ATTEMPTS } from './constants.js';
