import type { StorePosition } from './comparePositions.js';

/** What is remembered of an entry that was removed from the store. */
export interface RemovedEntry extends StorePosition {
  readonly startedAtMs: number | undefined;
  /** Revision of the entry itself. */
  readonly writtenAt: number;
  /** Whether the server had said that it leaves. */
  readonly hasLeft: boolean;
}

/** An entry that arrives. */
export interface ArrivingEntry extends StorePosition {
  readonly serverId: string;
  readonly startedAtMs: number | undefined;
}

/** Entries that were removed; an older state of them may still arrive from another host, or from a copy of the store. */
export interface RemovedEntries {
  find(serverId: string): RemovedEntry | undefined;
  add(serverId: string, entry: RemovedEntry): void;
  /** Whether an entry is an older state of one that was removed. */
  isOutdated(entry: ArrivingEntry): boolean;
}

/** Removed entries that are remembered; more than leave while an old state is on its way. */
const MAX_REMOVED = 2_000;

/**
 * Creates an empty memory.
 *
 * @returns the memory
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
      // A server that had not said that it leaves may have written itself again after the copy was made.
      return known.startedAtMs === startedAtMs && (known.hasLeft || revision <= known.writtenAt);
    },
  };
}
