/** The daemon of an entry host. */
export { default as startEntryHost } from './wire.js';
export type { EntryHost } from './wire.js';
