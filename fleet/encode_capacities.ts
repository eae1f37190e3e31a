import type { FleetReport, MemberRecord } from "./fleet_report.ts";
import { toNumber } from "./read_wire.ts";

/**
 * Position of the parameter with the present capacities of the sender and of the members
 * in the gossip, in this order. They are no part of the members' rows, since earlier
 * versions read all that follows in a row as names of services. The position before it is
 * left to reports on rollouts.
 */
export const CAPACITY_PARAM = 15;
/** Values of omitted parameters from the first optional one on: lists, and the store's era. */
const OMITTED_PARAMS: readonly unknown[] = [[], [], [], 0, []];
const FIRST_OPTIONAL_PARAM = CAPACITY_PARAM - OMITTED_PARAMS.length;
const MILLICORES_PER_CORE = 1_000;
/** An incarnation with the rated capacity of the instance, in thousandths of a core. */
const SIZED_INCARNATION = /^(.*)~(\d+)$/;

/**
 * Returns the incarnation with the rated capacity. Instances of earlier versions pass an
 * incarnation on unchanged in gossip and summaries, and compare it as a whole. All
 * instances thereby know the capacity of a member as soon as they know the member, and
 * rank members in the same order.
 */
export function encodeIncarnation(
  { capacity, incarnation }: MemberRecord,
): string {
  return capacity === undefined
    ? incarnation
    : `${incarnation}~${toMillicores(capacity.ratedCores)}`;
}

/** Returns an incarnation and the rated capacity that {@linkcode encodeIncarnation} added. */
export function decodeIncarnation(
  text: string,
): Pick<MemberRecord, "incarnation" | "capacity"> {
  const [, incarnation, millicores] = SIZED_INCARNATION.exec(text) ?? [];
  const ratedCores = Number(millicores ?? 0) / MILLICORES_PER_CORE;
  return incarnation === undefined || ratedCores === 0
    ? { incarnation: text }
    : { incarnation, capacity: { ratedCores, currentCores: ratedCores } };
}

/** Adds the present capacities in thousandths of a core, if one differs from the rated one; 0: it does not. */
export function addCapacityParam(
  params: readonly unknown[],
  { from, gossip }: FleetReport,
): readonly unknown[] {
  const capacities = [from, ...gossip.map(({ member }) => member)]
    .map(({ capacity }) =>
      capacity === undefined || capacity.currentCores === capacity.ratedCores
        ? 0
        : toMillicores(capacity.currentCores)
    );
  if (capacities.every((millicores) => millicores === 0)) return params;
  const omitted = OMITTED_PARAMS.slice(params.length - FIRST_OPTIONAL_PARAM);
  return [...params, ...omitted, capacities];
}

/** Adds the present capacities of {@linkcode CAPACITY_PARAM} to the members of a decoded report. */
export function addCapacities(
  report: FleetReport,
  param: unknown,
): FleetReport {
  if (!Array.isArray(param)) return report;
  const addTo = (member: MemberRecord, at: number): MemberRecord => {
    const currentCores = toNumber(param[at] ?? 0) / MILLICORES_PER_CORE;
    const { capacity } = member;
    return capacity === undefined || currentCores <= 0
      ? member
      : { ...member, capacity: { ...capacity, currentCores } };
  };
  return {
    ...report,
    from: addTo(report.from, 0),
    gossip: report.gossip.map(({ ageMs, member }, at) => ({
      ageMs,
      member: addTo(member, at + 1),
    })),
  };
}

/** Returns a capacity in whole thousandths of a core, at least one. */
function toMillicores(cores: number): number {
  return Math.max(1, Math.round(MILLICORES_PER_CORE * cores));
}
