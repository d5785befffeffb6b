/** The daemon of an entry host. */
export { default as startEntryHost } from './wire.js';
export type { EntryHost } from './wire.js';
export { default as createClaimBook } from './claims/createClaimBook.js';
export type { ClaimBookOptions } from './claims/createClaimBook.js';
export type { ClaimBook, ClaimRequest } from './claims/types.js';
export type { EntryHostView, PeerDirectory } from './peers/types.js';
export { default as createLoadReports } from './servers/createLoadReports.js';
export type { LoadReports, LoadReportsOptions, SummaryLink } from './servers/createLoadReports.js';
export { default as createServerDirectory } from './servers/createServerDirectory.js';
export type { ServerDirectory, ServerDirectoryOptions } from './servers/createServerDirectory.js';
export { default as createAttemptFollower } from './servers/createAttemptFollower.js';
export type { AttemptFollower, AttemptFollowerOptions, SlowVerdict } from './servers/createAttemptFollower.js';
export { default as createEstimates } from './servers/createEstimates.js';
export type { Estimates } from './servers/createEstimates.js';
export { default as createPrefixHints } from './servers/createPrefixHints.js';
export type { PrefixHints } from './servers/createPrefixHints.js';
export { default as createPoolQueues } from './servers/createPoolQueues.js';
export type { PoolQueues, WaitingAttempt } from './servers/createPoolQueues.js';
