/** The gateway: forwards requests along routes without reading their bodies. */
export type * from './ports.js';
export { default as startGateway } from './wireGateway.js';
export type { Gateway, GatewayOptions } from './wireGateway.js';
export { default as followSettings } from './followSettings.js';
export type { SettingsFollower, SettingsFollowerOptions } from './followSettings.js';
export { default as parseGatewaySettings } from './settings.js';
export type { GatewaySettings } from './settings.js';
