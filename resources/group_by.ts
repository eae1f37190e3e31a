/**
 * Returns the items in groups by key, in order of first appearance.
 *
 * @param items Items to group.
 * @param toKey Returns the key of an item.
 */
export function groupBy<T, Key>(
  items: Iterable<T>,
  toKey: (item: T) => Key,
): Map<Key, T[]> {
  const groups = new Map<Key, T[]>();
  for (const item of items) {
    const key = toKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
