/** Messages between the processes of the system. */
export * from './constants.js';
export { default as ProtocolError } from './ProtocolError.js';
export type { ProtocolErrorCode } from './ProtocolError.js';
export { default as chooseVersion } from './chooseVersion.js';
export * from './control/types.js';
export { default as decodeMessage } from './control/decodeMessage.js';
export { default as encodeMessage } from './control/encodeMessage.js';
export * from './operator.js';
export * from './operatorLimits.js';
export * from './operatorPoison.js';
export * from './config.js';
export * from './claims.js';
export * from './poison.js';
export * from './hosts.js';
export * from './membershipSyncSchema.js';
export * from './loadSummary.js';
