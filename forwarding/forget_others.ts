/**
 * Drops what a map holds of all but some.
 *
 * @param map By whom or what.
 * @param kept Those that stay.
 */
export function forgetOthers<Key>(
  map: Map<Key, unknown>,
  kept: ReadonlySet<Key>,
): void {
  [...map.keys()].filter((key) => !kept.has(key))
    .forEach((key) => map.delete(key));
}
