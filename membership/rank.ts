import { createHash } from "node:crypto";

const cache = new Map<string, number>();
/**
 * Maximum number of cached weights. Request keys are ranked, too, and would otherwise grow
 * the cache without bound.
 */
const CACHE_LIMIT = 20_000;
/** Maximum length of a text whose weight is cached, in characters. Callers choose some keys. */
const MAX_CACHED_LENGTH = 160;

/**
 * Returns the weight of a name for a key, from 0 to 2^32 - 1, by SHA-256.
 *
 * @param key Key to assign.
 * @param name Candidate.
 */
export function computeWeight(key: string, name: string): number {
  if (key.length + name.length > MAX_CACHED_LENGTH) {
    return computeUncachedWeight(key, name);
  }
  const text = `${key}\u0000${name}`;
  const known = cache.get(text);
  if (known !== undefined) return known;
  if (cache.size >= CACHE_LIMIT) cache.clear();
  const weight = computeUncachedWeight(key, name);
  cache.set(text, weight);
  return weight;
}

/**
 * Returns the same weight without caching it, for keys that others choose: they would
 * evict the cached weights of all other keys.
 */
export function computeUncachedWeight(key: string, name: string): number {
  return createHash("sha256").update(`${key}\u0000${name}`).digest()
    .readUInt32BE(0);
}

/**
 * Returns the names in descending order of their rendezvous weight for a key.
 * Instances that know the same names agree on the order, and adding or removing a
 * name moves only the keys of that name.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998.
 *
 * @param key Key to assign.
 * @param names Candidates.
 */
export function rankNames<Name extends string>(
  key: string,
  names: readonly Name[],
): readonly Name[] {
  return names
    .map((name) => ({ name, weight: computeWeight(key, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
