/**
 * Returns the changes that are newer than what is in force.
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
  inForceRevision: number,
  copyRevision: number,
): boolean {
  return copyRevision >= inForceRevision;
}
