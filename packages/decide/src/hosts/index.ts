/** Host list: which hosts read it, and how changes and gaps are passed on. */
export * from './types.js';
export { HOST_LIST_TICK_MS } from './constants.js';
export { default as advanceHostList } from './advanceHostList.js';
export { default as createHostListState } from './createHostListState.js';
export { default as diffHosts } from './diffHosts.js';
export type { HostsDiff } from './diffHosts.js';
