/** Host list: which hosts read it, how changes are pushed and how gaps are repaired. */
export * from './types.js';
export { HOST_LIST_TICK_MS } from './constants.js';
export { default as advanceHostList } from './advanceHostList.js';
export { default as createHostListState } from './createHostListState.js';
export { default as diffHosts } from './diffHosts.js';
export type { HostsDiff } from './diffHosts.js';
