import comparePositions, { type StorePosition } from './comparePositions.js';

/** An entry of the store. */
export interface CatalogueEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** A change of an entry; a change without a value removes the entry. */
export interface CatalogueChange {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

/** All changes after `fromRevision` up to and including `toRevision`. */
export interface CatalogueBatch {
  /** Era of its revisions; undefined from hosts of earlier versions, which have the era of the receiver. */
  readonly era?: number;
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly CatalogueChange[];
}

/** All entries as of a revision. */
export interface CatalogueSnapshot {
  /** Era of its revision; undefined from hosts of earlier versions, which have the era of the receiver. */
  readonly era?: number;
  readonly entries: readonly CatalogueEntry[];
  readonly revision: number;
}

/** Receives new snapshots and changes. */
export interface CatalogueSink {
  readonly onSnapshot: (snapshot: Required<CatalogueSnapshot>, isNewEra: boolean) => void;
  readonly onChanges: (changes: readonly CatalogueChange[], era: number) => void;
}

/** Entries of the store as one host knows them, with the most recent changes. */
export interface CatalogueLog {
  /** Position up to which all changes are known. */
  readonly position: StorePosition;
  /** Whether a snapshot was applied. */
  readonly isFilled: boolean;
  /** Applies a snapshot; one that is not newer than the position is ignored. */
  replace(snapshot: CatalogueSnapshot): void;
  /** Applies the new changes of a batch; false when changes before it are missing. */
  apply(batch: CatalogueBatch): boolean;
  /** Returns the changes after a position, or a snapshot when they are no longer kept or the era is another one. */
  since(position: StorePosition): CatalogueBatch | CatalogueSnapshot;
}

/** Number of changes that are kept; more than arrive while a host looks for another relay. */
const MAX_RECENT = 500;

class Log implements CatalogueLog {
  position: StorePosition = { era: 0, revision: 0 };

  isFilled = false;

  private readonly entries = new Map<string, CatalogueEntry>();

  private recent: readonly CatalogueChange[] = [];

  /** Revision after which all changes are kept. */
  private recentFromRevision = 0;

  constructor(private readonly sink: CatalogueSink) {}

  replace(snapshot: CatalogueSnapshot): void {
    const { entries, revision, era = this.position.era } = snapshot;
    const position = { era, revision };
    if (this.isFilled && comparePositions(position, this.position) <= 0) {
      return;
    }
    const isNewEra = this.isFilled && era > this.position.era;
    this.entries.clear();
    entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.position = position;
    this.isFilled = true;
    this.recent = [];
    this.recentFromRevision = revision;
    this.sink.onSnapshot({ entries, ...position }, isNewEra);
  }

  apply({ era = this.position.era, fromRevision, toRevision, changes }: CatalogueBatch): boolean {
    const known = this.position;
    if (this.isFilled && era < known.era) {
      // Changes of an earlier era are obsolete.
      return true;
    }
    if (!this.isFilled || era > known.era || fromRevision > known.revision) {
      return false;
    }
    const fresh = changes.filter(({ revision }) => revision > known.revision);
    this.position = { era, revision: Math.max(known.revision, toRevision) };
    if (fresh.length === 0) {
      return true;
    }
    fresh.forEach(({ key, value, revision }) => {
      if (value === undefined) {
        this.entries.delete(key);
      } else {
        this.entries.set(key, { key, value, revision });
      }
    });
    this.keepRecent(fresh);
    this.sink.onChanges(fresh, era);
    return true;
  }

  since({ era, revision }: StorePosition): CatalogueBatch | CatalogueSnapshot {
    const known = this.position;
    if (era !== known.era || revision < this.recentFromRevision) {
      return { entries: [...this.entries.values()], ...known };
    }
    const changes = this.recent.filter((change) => change.revision > revision);
    return { era, fromRevision: revision, toRevision: known.revision, changes };
  }

  private keepRecent(fresh: readonly CatalogueChange[]): void {
    const all = [...this.recent, ...fresh];
    const dropped = Math.max(0, all.length - MAX_RECENT);
    this.recentFromRevision = all[dropped - 1]?.revision ?? this.recentFromRevision;
    this.recent = all.slice(dropped);
  }
}

/**
 * Creates an empty log.
 *
 * @param sink - receiver of new snapshots and changes
 * @returns the log
 */
export default function createCatalogueLog(sink: CatalogueSink): CatalogueLog {
  return new Log(sink);
}
