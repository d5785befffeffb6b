import type { Clock } from '@bergamotcove/clock';
import { indexRoutes, type RouteIndex } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { CatalogueFormat } from '../ports.js';

/**
 * A route table as it stands in the store. Tables are ordered by their version, since the revision is not comparable
 * after the store was restored from an older copy.
 */
export interface StoredTable {
  readonly text: string;
  /** Revision of the store at which it was written. */
  readonly revision: number;
}

/** Route table in force on this host. */
export interface RouteTableHolder {
  /** The table in force; undefined until the first one is known. */
  current(): RouteIndex | undefined;
  /** The table in force as it stands in the store, for other hosts. */
  stored(): StoredTable | undefined;
  /** Applies a table from the store or from another host; one that is not newer or cannot be read changes nothing. */
  offer(table: StoredTable, source: string): void;
  onChange(run: (index: RouteIndex) => void): void;
}

/** Options of {@link createRouteTableHolder}. */
export interface RouteTableHolderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly format: CatalogueFormat;
}

/**
 * Holds the route table in force. Its version never decreases while the process runs.
 *
 * @param options - format of tables
 * @returns the holder
 */
export default function createRouteTableHolder({ logger, format }: RouteTableHolderOptions): RouteTableHolder {
  const listeners: ((index: RouteIndex) => void)[] = [];
  let index: RouteIndex | undefined;
  let stored: StoredTable | undefined;

  const offer = (offered: StoredTable, source: string): void => {
    if (offered.text === stored?.text) {
      return;
    }
    const table = format.readRouteTable(offered.text);
    const known = index?.table.version;
    if (table === undefined) {
      logger.event('routeTableUnreadable', { revision: offered.revision, source, version: known });
      return;
    }
    if (known !== undefined && table.version <= known) {
      logger.event('routeTableRegressed', {
        revision: offered.revision,
        source,
        version: known,
        offered: table.version,
      });
      return;
    }
    stored = offered;
    index = indexRoutes(table);
    logger.event('routeTableApplied', {
      version: table.version,
      before: known,
      revision: offered.revision,
      source,
      routes: table.routes.length,
    });
    const applied = index;
    listeners.forEach((run) => run(applied));
  };

  return {
    current: () => index,
    stored: () => stored,
    offer,
    onChange: (run) => {
      listeners.push(run);
    },
  };
}
