/** I/O around membership and configuration convergence. */
export { default as createMembership } from './createMembership.js';
export type { Membership, MembershipOptions, PeerNews } from './createMembership.js';
export { default as createConfigDistribution } from './createConfigDistribution.js';
export type { ConfigDistribution, ConfigDistributionOptions } from './createConfigDistribution.js';
