/** Pure decision logic: no timers, sockets, ambient time or randomness. */
export * from './request/index.js';
export * from './routing/types.js';
export { default as chooseServer } from './routing/chooseServer.js';
export * from './membership/index.js';
export * from './convergence/index.js';
export * from './lease/index.js';
