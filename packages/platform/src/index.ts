/** Adapters to the platform and the backend servers. */
export { default as PlatformError } from './PlatformError.js';
export type { PlatformErrorCode } from './PlatformError.js';
export * from './store/types.js';
export { default as createStoreClient } from './store/createStoreClient.js';
export type { StoreClientOptions } from './store/createStoreClient.js';
export { default as createGuardedStore } from './store/createGuardedStore.js';
export type { GuardedStoreOptions } from './store/createGuardedStore.js';
export { default as createLeaseHolder } from './store/createLeaseHolder.js';
export type { LeaseHolder, LeaseHolderOptions } from './store/createLeaseHolder.js';
export { default as fetchHostList } from './hosts/fetchHostList.js';
export type { HostList, ListedHost } from './hosts/fetchHostList.js';
export { default as callServer } from './servers/callServer.js';
export type { ServerCall, ServerEvent, ServerFailure } from './servers/types.js';
export { default as acceptDocument } from './documents/acceptDocument.js';
export type { AcceptOptions, AcceptResult } from './documents/acceptDocument.js';
