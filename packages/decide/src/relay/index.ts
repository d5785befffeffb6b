/** Choice of the source from which a host gets changes of the store. */
export { default as chooseSource, MAX_DIRECT_HOSTS, RELAY_TIMEOUT_MS, RELAYS } from './chooseSource.js';
export type { CatalogueSource, SourceView } from './chooseSource.js';
