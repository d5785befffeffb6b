/** A revision of the store, with the era in which it was assigned. */
export interface StorePosition {
  /** Increases when the store is restored from an older copy, after which revisions are assigned again. */
  readonly era: number;
  readonly revision: number;
}

/**
 * Compares two positions: by era first, then by revision.
 *
 * @param one - first position
 * @param other - second position
 * @returns negative when the first is earlier, positive when it is later, 0 when they are the same
 */
export default function comparePositions(one: StorePosition, other: StorePosition): number {
  return one.era === other.era ? one.revision - other.revision : one.era - other.era;
}
