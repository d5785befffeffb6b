/** Adapters to the platform and the backend servers. */
export { default as PlatformError } from './PlatformError.js';
export type { PlatformErrorCode } from './PlatformError.js';
export * from './store/types.js';
export { default as createStoreClient } from './store/createStoreClient.js';
export type { StoreClientOptions } from './store/createStoreClient.js';
export { default as fetchHostList } from './hosts/fetchHostList.js';
export type { HostList, ListedHost } from './hosts/fetchHostList.js';
export { default as callServer } from './servers/callServer.js';
export { default as queryStatus } from './servers/queryStatus.js';
export type { ServerCall, ServerEvent, ServerFailure } from './servers/types.js';
export { default as fetchLoad } from './servers/fetchLoad.js';
export type { ServerLoad } from './servers/fetchLoad.js';
export { default as acceptDocument } from './documents/acceptDocument.js';
export type { AcceptOptions, AcceptResult, AcceptRetry } from './documents/acceptDocument.js';
export { readHead, readHistory, readVersion } from './documents/readDocuments.js';
export type { Head, HistoryBounds } from './documents/readDocuments.js';
export { giveOrder, readEngine } from './engines/callEngine.js';
export type { EngineReport, OrderResult } from './engines/callEngine.js';
