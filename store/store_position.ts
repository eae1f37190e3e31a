/** How far into the store's changes something goes. */
export interface StorePosition {
  /**
   * Counts how often the store came back from an older copy of itself: its revisions went
   * back and are given out again. 0: it does not say.
   */
  readonly era: number;
  /** Revision of the last change, in that era. */
  readonly revision: number;
}

/** Before anything that a store has told. */
export const STORE_START: StorePosition = { era: 0, revision: 0 };

/**
 * Compares two positions: revisions of different eras say nothing of each other.
 *
 * @returns Below 0 where the first is the earlier, above 0 where it is the later.
 */
export function comparePositions(
  first: StorePosition,
  second: StorePosition,
): number {
  return first.era - second.era || first.revision - second.revision;
}
