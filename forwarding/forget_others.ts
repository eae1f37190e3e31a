/**
 * Deletes the entries of a map whose keys are not in a set.
 *
 * @param map The map to change.
 * @param kept Keys of the entries that stay.
 */
export function forgetOthers<Key>(
  map: Map<Key, unknown>,
  kept: ReadonlySet<Key>,
): void {
  [...map.keys()].filter((key) => !kept.has(key))
    .forEach((key) => map.delete(key));
}
