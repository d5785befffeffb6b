/** I/O for the reducers of membership, configuration convergence and the host list. */
export { default as createMembership } from './createMembership.js';
export type { Membership, MembershipOptions, PeerNews } from './createMembership.js';
export { default as createConfigDistribution } from './createConfigDistribution.js';
export type { ConfigDistribution, ConfigDistributionOptions } from './createConfigDistribution.js';
export { default as createHostListFollower, HOST_LIST_TOPIC } from './createHostListFollower.js';
export type { HostListFollower, HostListFollowerOptions } from './createHostListFollower.js';
