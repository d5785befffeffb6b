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
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly CatalogueChange[];
}

/** All entries as of a revision. */
export interface CatalogueSnapshot {
  readonly entries: readonly CatalogueEntry[];
  readonly revision: number;
}

/** Receives what is new. */
export interface CatalogueSink {
  readonly onSnapshot: (snapshot: CatalogueSnapshot) => void;
  readonly onChanges: (changes: readonly CatalogueChange[]) => void;
}

/** Entries of the store as one host knows them, with the changes of the last while. */
export interface CatalogueLog {
  /** Everything up to this revision is known; 0 before the first snapshot. */
  readonly revision: number;
  /** Takes a snapshot; an older one changes nothing. */
  replace(snapshot: CatalogueSnapshot): void;
  /** Takes what is new of a batch; false when changes before it are missing. */
  apply(batch: CatalogueBatch): boolean;
  /** What has changed after a revision, or everything when that is not remembered any more. */
  since(revision: number): CatalogueBatch | CatalogueSnapshot;
}

/** Changes that are remembered; more than come while a host looks for another relay. */
const MAX_REMEMBERED = 500;

class Log implements CatalogueLog {
  revision = 0;

  private readonly entries = new Map<string, CatalogueEntry>();

  private remembered: readonly CatalogueChange[] = [];

  /** Changes after this revision are remembered. */
  private rememberedFrom = 0;

  constructor(private readonly sink: CatalogueSink) {}

  replace(snapshot: CatalogueSnapshot): void {
    if (snapshot.revision <= this.revision) {
      return;
    }
    this.entries.clear();
    snapshot.entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.revision = snapshot.revision;
    this.remembered = [];
    this.rememberedFrom = snapshot.revision;
    this.sink.onSnapshot(snapshot);
  }

  apply({ fromRevision, toRevision, changes }: CatalogueBatch): boolean {
    if (this.revision === 0 || fromRevision > this.revision) {
      return false;
    }
    const fresh = changes.filter(({ revision }) => revision > this.revision);
    this.revision = Math.max(this.revision, toRevision);
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
    this.sink.onChanges(fresh);
    return true;
  }

  since(revision: number): CatalogueBatch | CatalogueSnapshot {
    if (revision < this.rememberedFrom) {
      return { entries: [...this.entries.values()], revision: this.revision };
    }
    const changes = this.remembered.filter((change) => change.revision > revision);
    return { fromRevision: revision, toRevision: this.revision, changes };
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
