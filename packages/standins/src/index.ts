/** Stand-ins for the platform and the backend servers, for tests and measurements. */
export type { ListenOptions, Standin } from './types.js';
export type { StandinOptions } from './main.js';
export { default as startStore } from './store/startStore.js';
export { default as startHostList } from './hosts/startHostList.js';
export type { StandinHost } from './hosts/startHostList.js';
export { default as startEngine } from './servers/startEngine.js';
export type { EngineOptions } from './servers/startEngine.js';
export { default as startStageServer } from './servers/startStageServer.js';
export type { StageKind, StageServerOptions } from './servers/startStageServer.js';
