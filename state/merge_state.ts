import { comparePositions, type StorePosition } from "../store/mod.ts";

/**
 * Returns the changes that are newer than what is in force, of the same era.
 *
 * @param inForceRevision Revision up to which changes are in force.
 * @param changes With the store's revisions, in any order.
 */
export function pickFresh<Change extends { readonly revision: number }>(
  inForceRevision: number,
  changes: readonly Change[],
): readonly Change[] {
  return changes.filter(({ revision }) => revision > inForceRevision);
}

/** Whether a full read of the store, or a peer's copy, may replace what is in force. */
export function mayReplace(
  inForce: StorePosition,
  copy: StorePosition,
): boolean {
  return comparePositions(copy, inForce) >= 0;
}
