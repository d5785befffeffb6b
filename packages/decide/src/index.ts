/** Pure decision logic: no timers, sockets, ambient time or randomness. */
export * from './request/index.js';
export * from './claims/index.js';
export * from './poison/index.js';
export * from './routing/types.js';
export { default as chooseServer } from './routing/chooseServer.js';
