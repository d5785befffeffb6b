import type { StorePosition } from './comparePositions.js';

/** Tombstone of a server's entry, at the position at which it was removed from the store. */
export interface RemovedEntry extends StorePosition {
  readonly startedAtMs: number | undefined;
  /** Last revision at which the entry was written. */
  readonly writtenRevision: number;
  /** Whether the server had announced that it was leaving. */
  readonly hasLeft: boolean;
}

/** An entry as it is received. */
export interface ArrivingEntry extends StorePosition {
  readonly serverId: string;
  readonly startedAtMs: number | undefined;
}

/** Tombstones; an outdated entry may still arrive from another host, or from a restored copy of the store. */
export interface RemovedEntries {
  find(serverId: string): RemovedEntry | undefined;
  add(serverId: string, entry: RemovedEntry): void;
  /** Whether an entry is an outdated state of one that was removed. */
  isOutdated(entry: ArrivingEntry): boolean;
}

/** Number of tombstones that are kept; more than servers leave while an outdated entry may still arrive. */
const MAX_REMOVED = 2_000;

/**
 * Creates an empty set of tombstones.
 *
 * @returns the set
 */
export default function createRemovedEntries(): RemovedEntries {
  const removed = new Map<string, RemovedEntry>();
  return {
    find: (serverId) => removed.get(serverId),
    add: (serverId, entry) => {
      removed.set(serverId, entry);
      if (removed.size > MAX_REMOVED) {
        removed.delete(removed.keys().next().value as string);
      }
    },
    isOutdated: ({ serverId, era, revision, startedAtMs }) => {
      const known = removed.get(serverId);
      if (known === undefined) {
        return false;
      }
      if (known.era === era) {
        return revision <= known.revision;
      }
      // A server that had not announced that it was leaving may have registered again after the copy was made.
      return known.startedAtMs === startedAtMs && (known.hasLeft || revision <= known.writtenRevision);
    },
  };
}
