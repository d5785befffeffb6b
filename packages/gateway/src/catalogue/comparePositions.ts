/** A moment in the life of the store. */
export interface StorePosition {
  /** Rises when the store comes back from an older copy, in which revisions are given out again. */
  readonly era: number;
  readonly revision: number;
}

/**
 * Compares two positions.
 *
 * @param one - a position
 * @param other - another one
 * @returns negative when the first is earlier, positive when it is later, 0 when they are the same
 */
export default function comparePositions(one: StorePosition, other: StorePosition): number {
  return one.era === other.era ? one.revision - other.revision : one.era - other.era;
}
