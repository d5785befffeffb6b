/** Load reports: which host polls which server, at which interval, and how old a report is. */
export * from './types.js';
export { default as createLoadSchedule } from './createLoadSchedule.js';
export type { LoadSchedule } from './createLoadSchedule.js';
export { default as hashServerId } from './hashServerId.js';
export { default as indexServers } from './indexServers.js';
export { default as loadIntervalMs } from './loadIntervalMs.js';
export { default as readReceiveDelay } from './readReceiveDelay.js';
export { default as readReportAge } from './readReportAge.js';
export type { PolledReport } from './readReportAge.js';
