/** Messages between the processes of the system. */
export * from './operator.js';
export * from './config.js';
export * from './claims.js';
export * from './poison.js';
