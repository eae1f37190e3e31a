import { comparePositions, type StorePosition } from "../store/mod.ts";

/**
 * Returns the changes that are newer than the state in force, in the same era.
 *
 * @param inForceRevision Revision up to which changes are in force.
 * @param changes Changes with their revisions in the store, in any order.
 */
export function pickFresh<Change extends { readonly revision: number }>(
  inForceRevision: number,
  changes: readonly Change[],
): readonly Change[] {
  return changes.filter(({ revision }) => revision > inForceRevision);
}

/** Returns whether a full read of the store, or a peer's copy, may replace the state in force. */
export function mayReplace(
  inForce: StorePosition,
  copy: StorePosition,
): boolean {
  return comparePositions(copy, inForce) >= 0;
}
