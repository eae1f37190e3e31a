import { computeWeight } from "../membership/mod.ts";
import { rankNames } from "../membership/mod.ts";

/**
 * Returns the engines that one daemon of a region uses. Each daemon takes a
 * run of equal length on the same shuffled ring, starting at its own position,
 * so that every engine is in about the same number of subsets.
 *
 * @param engines Names of all engines of the region.
 * @param daemons Names of all live daemons of the region, with the own one.
 * @param self Own name.
 * @param size Wanted size of the subset.
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

/** Returns the daemons that poll an engine's load for the others. */
export function pickObservers(
  engine: string,
  daemons: readonly string[],
  count: number,
): readonly string[] {
  return [...daemons]
    .sort((a, b) => computeWeight(engine, b) - computeWeight(engine, a))
    .slice(0, count);
}
