/** Stand-ins that answer wrongly, for tests of everything that reads answers. */
export { default as createRawServer } from './createRawServer.js';
export type { RawRequest, RawServer, RawServerOptions } from './createRawServer.js';
export { default as listBrokenHeads } from './listBrokenHeads.js';
export type { BrokenHead } from './listBrokenHeads.js';
