/** Membership of the entry hosts (SWIM): probes, suspicions, failure detection and gossip. */
export * from './types.js';
export { TICK_MS } from './constants.js';
export { default as advanceMembership } from './advanceMembership.js';
export { default as createMembershipState } from './createMembershipState.js';
export { default as hashView } from './hashView.js';
export { default as listLiveMembers } from './listLiveMembers.js';
export { default as rankByRendezvous } from './rankByRendezvous.js';
export { default as suspicionTimeoutMs } from './suspicionTimeoutMs.js';
