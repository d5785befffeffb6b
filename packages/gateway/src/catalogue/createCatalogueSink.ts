import { toError } from '@bergamotcove/errors';
import { reportReaderFault, type Logger } from '@bergamotcove/log';
import type { StoredBlocks, StoredText } from '../crashes/createBlockSharing.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { CatalogueFormat } from '../ports.js';
import type { BackendDirectory, StoredServer } from './BackendDirectory.js';
import type { Evacuations } from './createEvacuations.js';
import type { CatalogueChange, CatalogueEntry, CatalogueSink } from './createCatalogueLog.js';
import type { StreamOrigins } from '../streams/createStreamOrigins.js';
import type { RouteTableHolder } from './createRouteTableHolder.js';

/** Consumers of the entries of the store, and the format of its keys. */
export interface CatalogueConsumers {
  readonly logger: Logger;
  readonly format: CatalogueFormat;
  readonly tables: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly evacuations: Pick<Evacuations, 'put' | 'remove' | 'replace'>;
  readonly blocks: StoredBlocks;
  readonly origins: Pick<StreamOrigins, 'putAgreed'>;
}

const toText = ({ key, value }: CatalogueEntry, prefix: string): StoredText => ({
  fingerprint: key.slice(prefix.length),
  text: value,
});

const listTexts = (entries: readonly CatalogueEntry[], prefix: string): readonly StoredText[] =>
  entries.filter(({ key }) => key.startsWith(prefix)).map((entry) => toText(entry, prefix));

class Sink implements CatalogueSink {
  constructor(
    private readonly consumers: CatalogueConsumers,
    private readonly hosts: () => HostRegistry | undefined,
  ) {}

  readonly onSnapshot: CatalogueSink['onSnapshot'] = ({ entries, revision, era }, isNewEra) => {
    const { format, directory, evacuations, blocks } = this.consumers;
    const evacuated = entries.filter(({ key }) => key.startsWith(format.evacuationPrefix));
    const domains = evacuated.map(({ key }) => key.slice(format.evacuationPrefix.length));
    this.contain(() => evacuations.replace({ domains, revision, era }));
    const ownKeys = [format.routeTableKey, format.agreedOriginsKey];
    entries.filter(({ key }) => ownKeys.includes(key)).forEach((entry) => this.contain(() => this.put(entry, era)));
    const servers = entries.filter(({ key }) => key.startsWith(format.serverPrefix));
    this.contain(() => directory.replace({ servers: servers.map((entry) => this.toServer(entry)), revision, era }));
    const hostEntries = entries.filter(({ key }) => key.startsWith(format.hostPrefix));
    const records = hostEntries.map(({ key, value }) => ({ key, text: value }));
    this.contain(() => this.hosts()?.replace(records, { keepsMissing: isNewEra }));
    this.contain(() =>
      blocks.replace({
        blocks: listTexts(entries, format.blockPrefix),
        releases: listTexts(entries, format.releasePrefix),
        isNewEra,
      }),
    );
  };

  readonly onChanges: CatalogueSink['onChanges'] = (changes, era) => {
    changes.forEach(({ key, value, revision }) =>
      this.contain(() =>
        value === undefined ? this.remove({ key, revision }, era) : this.put({ key, value, revision }, era),
      ),
    );
    this.contain(() => this.updateHosts(changes));
  };

  /** Hands entries to a consumer. Its exception must not keep the other entries from their consumers. */
  private contain(run: () => void): void {
    try {
      run();
    } catch (cause) {
      reportReaderFault(this.consumers.logger, toError(cause));
    }
  }

  /** Applies all changes of hosts in one update, because each update makes the listeners review their duties. */
  private updateHosts(changes: readonly CatalogueChange[]): void {
    const { hostPrefix } = this.consumers.format;
    const last = new Map(changes.filter(({ key }) => key.startsWith(hostPrefix)).map(({ key, value }) => [key, value]));
    if (last.size > 0) {
      this.hosts()?.update({
        put: [...last].flatMap(([key, text]) => (text === undefined ? [] : [{ key, text }])),
        removed: [...last].flatMap(([key, text]) => (text === undefined ? [key] : [])),
      });
    }
  }

  private put(entry: CatalogueEntry, era: number): void {
    const { format, tables, directory, evacuations, blocks, origins } = this.consumers;
    const { key, value, revision } = entry;
    if (key === format.routeTableKey) {
      tables.offer({ text: value, revision }, 'store');
    } else if (key === format.agreedOriginsKey) {
      origins.putAgreed(value);
    } else if (key.startsWith(format.serverPrefix)) {
      directory.put(this.toServer(entry), era);
    } else if (key.startsWith(format.evacuationPrefix)) {
      evacuations.put(key.slice(format.evacuationPrefix.length), { era, revision });
    } else if (key.startsWith(format.blockPrefix)) {
      blocks.put(toText(entry, format.blockPrefix));
    } else if (key.startsWith(format.releasePrefix)) {
      blocks.putRelease(toText(entry, format.releasePrefix));
    }
  }

  private remove({ key, revision }: CatalogueChange, era: number): void {
    const { format, directory, evacuations, blocks } = this.consumers;
    if (key.startsWith(format.serverPrefix)) {
      directory.remove(key.slice(format.serverPrefix.length), { era, revision });
    } else if (key.startsWith(format.evacuationPrefix)) {
      evacuations.remove(key.slice(format.evacuationPrefix.length), { era, revision });
    } else if (key.startsWith(format.blockPrefix)) {
      blocks.remove(key.slice(format.blockPrefix.length));
    } else if (key.startsWith(format.releasePrefix)) {
      blocks.removeRelease(key.slice(format.releasePrefix.length));
    }
  }

  private toServer({ key, value, revision }: CatalogueEntry): StoredServer {
    return { serverId: key.slice(this.consumers.format.serverPrefix.length), text: value, revision };
  }
}

/**
 * Creates the receiver that dispatches the entries of the store to their consumers by key prefix.
 *
 * @param consumers - consumers of the entries
 * @param hosts - returns the host registry, once it exists
 * @returns the receiver
 */
export default function createCatalogueSink(
  consumers: CatalogueConsumers,
  hosts: () => HostRegistry | undefined,
): CatalogueSink {
  return new Sink(consumers, hosts);
}
