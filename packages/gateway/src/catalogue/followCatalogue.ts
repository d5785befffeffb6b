import { followStore, type StoreClient, type StoreEntry, type StoreFollower } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import type { BackendDirectory, StoredServer } from './createBackendDirectory.js';
import type { RouteTableHolder } from './createRouteTableHolder.js';

/** Options of {@link followCatalogue}. */
export interface CatalogueOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StoreClient;
  readonly format: CatalogueFormat;
  readonly tables: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly hosts: HostRegistry;
}

/** Everything lies in one store, and one watch of all its keys costs less than one of each prefix. */
const ALL_KEYS = '';

/** Hands entries of the store to the parts that keep them. */
class Catalogue {
  constructor(private readonly options: CatalogueOptions) {}

  put(entry: StoreEntry): void {
    const { format, tables, directory, hosts } = this.options;
    if (entry.key === format.routeTableKey) {
      tables.offer({ text: entry.value, revision: Number(entry.modRevision) }, 'store');
    } else if (entry.key.startsWith(format.serverPrefix)) {
      directory.put(this.toServer(entry));
    } else if (entry.key.startsWith(format.hostPrefix)) {
      hosts.put(entry.key, entry.value);
    }
  }

  replace(entries: readonly StoreEntry[], revision: string): void {
    const { format, directory, hosts } = this.options;
    entries.filter(({ key }) => key === format.routeTableKey).forEach((entry) => this.put(entry));
    const servers = entries.filter(({ key }) => key.startsWith(format.serverPrefix));
    directory.replace({ servers: servers.map((entry) => this.toServer(entry)), revision: Number(revision) });
    const listed = entries.filter(({ key }) => key.startsWith(format.hostPrefix));
    hosts.replace(listed.map(({ key, value }) => ({ key, text: value })));
  }

  remove(key: string, revision: string): void {
    const { format, directory, hosts } = this.options;
    if (key.startsWith(format.serverPrefix)) {
      directory.remove(key.slice(format.serverPrefix.length), Number(revision));
    } else if (key.startsWith(format.hostPrefix)) {
      hosts.remove(key);
    }
  }

  private toServer({ key, value, modRevision }: StoreEntry): StoredServer {
    return {
      serverId: key.slice(this.options.format.serverPrefix.length),
      text: value,
      revision: Number(modRevision),
    };
  }
}

/**
 * Follows what operators, backend servers and hosts write to the store.
 *
 * @param options - store and the parts that keep what it holds
 * @returns the follower; close it to stop
 */
export default function followCatalogue(options: CatalogueOptions): StoreFollower {
  const { clock, logger, store, directory } = options;
  const catalogue = new Catalogue(options);
  return followStore({
    clock,
    random: Math.random,
    store,
    prefix: ALL_KEYS,
    onSnapshot: (entries, revision) => catalogue.replace(entries, revision),
    onPut: (entry) => catalogue.put(entry),
    onDelete: (key, revision) => catalogue.remove(key, revision),
    onLost: (reason) => {
      directory.noteStore('lost');
      logger.event('storeUnavailable', { reason });
    },
    onFound: () => {
      directory.noteStore('found');
      logger.event('storeRecovered', {});
    },
  });
}
