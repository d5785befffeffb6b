/** The operators' command line. */
export * from './exitCodes.js';
