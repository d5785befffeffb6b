/** Stand-ins of the platform services and of the backend servers, for tests and benchmarks. */
export type { ListenOptions, Observer, ServerPoint, Standin, StorePoint } from './types.js';
export type { StandinOptions } from './main.js';
export { default as startStore } from './store/startStore.js';
export type { StoreOptions, StoreStandin } from './store/startStore.js';
export type { StoreFaultInput } from './store/storeFaults.js';
export { default as startHostList } from './hosts/startHostList.js';
export type { HostListFaults, HostListStandin, StandinHost } from './hosts/startHostList.js';
export { default as startEngine } from './engines/startEngine.js';
export type { EngineOptions, EngineStandin } from './engines/startEngine.js';
export { default as startStageServer, createLedger } from './servers/startStageServer.js';
export type { Ledger, StageKind, StageServerOptions, StageServerStandin } from './servers/startStageServer.js';
export type { FaultyServer } from './_lib/startFaultyServer.js';
export type { ServerFaultInput } from './_lib/serverFaults.js';
export { default as startWeightStore } from './weights/startWeightStore.js';
export type { WeightStoreOptions } from './weights/startWeightStore.js';
export { default as startBalancer } from './balancer/startBalancer.js';
export type { BalancerBackend, BalancerOptions, BalancerStandin } from './balancer/startBalancer.js';
