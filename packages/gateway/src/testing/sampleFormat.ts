import type { CatalogueFormat, ServerEntry } from '../ports.js';

/** Format of the store's entries for tests; a server's entry is its fields as JSON. */
const sampleFormat: CatalogueFormat = {
  routeTableKey: 'table',
  serverPrefix: 'servers/',
  evacuationPrefix: 'evacuations/',
  hostPrefix: 'hosts/',
  blockPrefix: 'blocks/',
  releasePrefix: 'releases/',
  agreedOriginsKey: 'agreed-origins',
  streamPrefix: 'zz-streams/',
  readRouteTable: () => undefined,
  readServer: (serverId, text) =>
    text === '' ? undefined : { serverId, ...(JSON.parse(text) as Omit<ServerEntry, 'serverId'>) },
};

export default sampleFormat;
