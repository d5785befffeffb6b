/** The gateway: forwards requests along routes without reading their bodies. */
export type * from './ports.js';
export { default as startGateway } from './wireGateway.js';
export type { GatewayOptions } from './createBaseParts.js';
export type { Gateway } from './wireGateway.js';
export { default as followSettings } from './followSettings.js';
export type { SettingsFollower, SettingsFollowerOptions } from './followSettings.js';
export { default as readSettings } from './readSettings.js';
export type { SettingsText } from './readSettings.js';
export { default as parseGatewaySettings } from './settings.js';
export type { GatewaySettings } from './settings.js';
export { default as createHostRegistry } from './hosts/createHostRegistry.js';
export type { HostEntry, HostRegistry } from './hosts/createHostRegistry.js';
export { default as createRateLimits } from './limits/createRateLimits.js';
export type { RateLimits, RateLimitsOptions } from './limits/createRateLimits.js';
