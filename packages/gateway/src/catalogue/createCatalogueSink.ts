import type { StoredBlocks, StoredText } from '../crashes/createBlockSharing.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import type { BackendDirectory, StoredServer } from './BackendDirectory.js';
import type { CatalogueChange, CatalogueEntry, CatalogueSink } from './createCatalogueLog.js';
import type { RouteTableHolder } from './createRouteTableHolder.js';

/** Parts that keep what the store holds. */
export interface CatalogueKeepers {
  readonly format: CatalogueFormat;
  readonly tables: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly blocks: StoredBlocks;
}

const toText = ({ key, value }: CatalogueEntry, prefix: string): StoredText => ({
  fingerprint: key.slice(prefix.length),
  text: value,
});

const listTexts = (entries: readonly CatalogueEntry[], prefix: string): readonly StoredText[] =>
  entries.filter(({ key }) => key.startsWith(prefix)).map((entry) => toText(entry, prefix));

class Sink implements CatalogueSink {
  constructor(
    private readonly keepers: CatalogueKeepers,
    private readonly hosts: () => HostRegistry | undefined,
  ) {}

  readonly onSnapshot: CatalogueSink['onSnapshot'] = ({ entries, revision, era }, isNewEra) => {
    const { format, directory, blocks } = this.keepers;
    entries.filter(({ key }) => key === format.routeTableKey).forEach((entry) => this.put(entry, era));
    const servers = entries.filter(({ key }) => key.startsWith(format.serverPrefix));
    directory.replace({ servers: servers.map((entry) => this.toServer(entry)), revision, era });
    const listed = entries.filter(({ key }) => key.startsWith(format.hostPrefix));
    const records = listed.map(({ key, value }) => ({ key, text: value }));
    this.hosts()?.replace(records, { keepsMissing: isNewEra });
    blocks.replace({
      blocks: listTexts(entries, format.blockPrefix),
      releases: listTexts(entries, format.releasePrefix),
      isNewEra,
    });
  };

  readonly onChanges: CatalogueSink['onChanges'] = (changes, era) => {
    changes.forEach(({ key, value, revision }) => {
      if (value === undefined) {
        this.remove({ key, revision }, era);
      } else {
        this.put({ key, value, revision }, era);
      }
    });
    this.updateHosts(changes);
  };

  /** Tells of all hosts that have changed at once: each change makes the parts look at their duties anew. */
  private updateHosts(changes: readonly CatalogueChange[]): void {
    const { hostPrefix } = this.keepers.format;
    const last = new Map(changes.filter(({ key }) => key.startsWith(hostPrefix)).map(({ key, value }) => [key, value]));
    if (last.size > 0) {
      this.hosts()?.update({
        put: [...last].flatMap(([key, text]) => (text === undefined ? [] : [{ key, text }])),
        removed: [...last].flatMap(([key, text]) => (text === undefined ? [key] : [])),
      });
    }
  }

  private put(entry: CatalogueEntry, era: number): void {
    const { format, tables, directory, blocks } = this.keepers;
    const { key, value, revision } = entry;
    if (key === format.routeTableKey) {
      tables.offer({ text: value, revision }, 'store');
    } else if (key.startsWith(format.serverPrefix)) {
      directory.put(this.toServer(entry), era);
    } else if (key.startsWith(format.blockPrefix)) {
      blocks.put(toText(entry, format.blockPrefix));
    } else if (key.startsWith(format.releasePrefix)) {
      blocks.putRelease(toText(entry, format.releasePrefix));
    }
  }

  private remove({ key, revision }: CatalogueChange, era: number): void {
    const { format, directory, blocks } = this.keepers;
    if (key.startsWith(format.serverPrefix)) {
      directory.remove(key.slice(format.serverPrefix.length), { era, revision });
    } else if (key.startsWith(format.blockPrefix)) {
      blocks.remove(key.slice(format.blockPrefix.length));
    } else if (key.startsWith(format.releasePrefix)) {
      blocks.removeRelease(key.slice(format.releasePrefix.length));
    }
  }

  private toServer({ key, value, revision }: CatalogueEntry): StoredServer {
    return { serverId: key.slice(this.keepers.format.serverPrefix.length), text: value, revision };
  }
}

/**
 * Creates the receiver that hands entries of the store to the parts that keep them.
 *
 * @param keepers - the parts
 * @param hosts - list of hosts, once it exists
 * @returns the receiver
 */
export default function createCatalogueSink(
  keepers: CatalogueKeepers,
  hosts: () => HostRegistry | undefined,
): CatalogueSink {
  return new Sink(keepers, hosts);
}
