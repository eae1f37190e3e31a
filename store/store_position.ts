/** Position in the sequence of the store's changes. */
export interface StorePosition {
  /**
   * Number of times that the store was restored from an older copy of itself. Its revisions
   * go back then, and are assigned again. 0: the store does not report an era.
   */
  readonly era: number;
  /** Revision of the last change, in that era. */
  readonly revision: number;
}

/** Position before all changes that a store has reported. */
export const STORE_START: StorePosition = { era: 0, revision: 0 };

/**
 * Compares two positions by era, then by revision. Revisions of different eras are not
 * comparable with each other.
 *
 * @returns Below 0 where the first is the earlier, above 0 where it is the later.
 */
export function comparePositions(
  first: StorePosition,
  second: StorePosition,
): number {
  return first.era - second.era || first.revision - second.revision;
}
