import { computeWeight } from "../membership/mod.ts";
import { rankNames } from "../membership/mod.ts";

/**
 * Returns the engines that one instance of a region uses. Each instance takes a
 * range of equal length on the same shuffled ring, starting at its own position, so
 * that each engine is in about the same number of subsets.
 *
 * @param engines Names of all engines of the region.
 * @param options Names of all live instances of the region including this one, name
 * of this instance, and minimum size of the subset.
 */
export function pickSubset<Name extends string>(
  engines: readonly Name[],
  options: {
    readonly daemons: readonly string[];
    readonly self: string;
    readonly size: number;
  },
): readonly Name[] {
  const { daemons, self, size } = options;
  if (engines.length <= size) return engines;
  const ring = rankNames("subset", engines);
  const order = rankNames("subset", daemons);
  const position = Math.max(0, order.indexOf(self));
  const needed = Math.max(
    size,
    Math.ceil(engines.length / Math.max(1, daemons.length)),
  );
  const start = Math.floor(
    (position * ring.length) / Math.max(1, order.length),
  );
  return Array.from(
    { length: needed },
    (_, step) => ring[(start + step) % ring.length]!,
  );
}

/** Returns the `count` instances that poll an engine's load on behalf of the others. */
export function pickObservers(
  engine: string,
  instances: readonly string[],
  count: number,
): readonly string[] {
  return [...instances]
    .sort((a, b) => computeWeight(engine, b) - computeWeight(engine, a))
    .slice(0, count);
}
