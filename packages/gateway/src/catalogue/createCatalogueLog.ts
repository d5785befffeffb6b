import comparePositions, { type StorePosition } from './comparePositions.js';

/** An entry of the store. */
export interface CatalogueEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** A change of an entry; without a value the entry was removed. */
export interface CatalogueChange {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

/** All changes after one revision up to another one. */
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

/** Receives what is new. */
export interface CatalogueSink {
  readonly onSnapshot: (snapshot: Required<CatalogueSnapshot>, isNewEra: boolean) => void;
  readonly onChanges: (changes: readonly CatalogueChange[], era: number) => void;
}

/** Entries of the store as one host knows them, with the changes of the last while. */
export interface CatalogueLog {
  /** Everything up to this position is known. */
  readonly position: StorePosition;
  /** Whether there was a snapshot. */
  readonly isFilled: boolean;
  /** Takes a snapshot; an older one changes nothing. */
  replace(snapshot: CatalogueSnapshot): void;
  /** Takes what is new of a batch; false when changes before it are missing. */
  apply(batch: CatalogueBatch): boolean;
  /** What has changed after a position, or everything when that is not remembered any more or of another era. */
  since(position: StorePosition): CatalogueBatch | CatalogueSnapshot;
}

/** Changes that are remembered; more than come while a host looks for another relay. */
const MAX_REMEMBERED = 500;

class Log implements CatalogueLog {
  position: StorePosition = { era: 0, revision: 0 };

  isFilled = false;

  private readonly entries = new Map<string, CatalogueEntry>();

  private remembered: readonly CatalogueChange[] = [];

  /** Changes after this revision are remembered. */
  private rememberedFrom = 0;

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
    this.remembered = [];
    this.rememberedFrom = revision;
    this.sink.onSnapshot({ entries, ...position }, isNewEra);
  }

  apply({ era = this.position.era, fromRevision, toRevision, changes }: CatalogueBatch): boolean {
    const known = this.position;
    if (this.isFilled && era < known.era) {
      // It is worth nothing any more.
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
    this.remember(fresh);
    this.sink.onChanges(fresh, era);
    return true;
  }

  since({ era, revision }: StorePosition): CatalogueBatch | CatalogueSnapshot {
    const known = this.position;
    if (era !== known.era || revision < this.rememberedFrom) {
      return { entries: [...this.entries.values()], ...known };
    }
    const changes = this.remembered.filter((change) => change.revision > revision);
    return { era, fromRevision: revision, toRevision: known.revision, changes };
  }

  private remember(fresh: readonly CatalogueChange[]): void {
    const all = [...this.remembered, ...fresh];
    const dropped = Math.max(0, all.length - MAX_REMEMBERED);
    this.rememberedFrom = all[dropped - 1]?.revision ?? this.rememberedFrom;
    this.remembered = all.slice(dropped);
  }
}

/**
 * Creates an empty log.
 *
 * @param sink - receives what is new
 * @returns the log
 */
export default function createCatalogueLog(sink: CatalogueSink): CatalogueLog {
  return new Log(sink);
}
