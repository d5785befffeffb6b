/** Origins of streams: which servers may go on with a stream that broke off. */
export type * from './types.js';
export { default as findContinuers } from './findContinuers.js';
export { default as isSameOrigin } from './isSameOrigin.js';
export { default as planAgreement } from './planAgreement.js';
export type { AgreementPlan, AgreementView, UnservedSinceMs } from './planAgreement.js';
