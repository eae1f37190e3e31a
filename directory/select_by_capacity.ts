import { listCapacityWeights } from "../capacity/mod.ts";
import type { MemberRecord } from "../fleet/mod.ts";
import { computeUncachedWeight } from "../membership/mod.ts";

/**
 * Minimum number of instances that an answer names while as many are ready, so that a
 * caller finds another one if an instance fails before the answer expires.
 */
export const MIN_SELECTED = 3;
/** Number of values of {@linkcode computeUncachedWeight}. */
const WEIGHT_VALUES = 2 ** 32;

interface Candidate {
  readonly member: MemberRecord;
  /** Hash of the caller and the member, from 0 to 1. */
  readonly hash: number;
  /** Share of callers to which the member is named. */
  readonly share: number;
}

/**
 * Selects the instances that one caller uses, so that each instance is used in proportion
 * to its present capacity. The largest instances are named to all callers, and one with
 * a tenth of their rated capacity to a tenth of them. Which callers these are is decided by
 * rendezvous hashing: a caller gets the same answer while membership and capacities are
 * the same, and an instance that is behind moves only its own callers. One that
 * starts or stops does so too, unless it is the only largest one.
 *
 * Returns all instances if a capacity is unknown, or if all have the same one.
 *
 * Source: Poisson sampling with permanent random numbers; Brewer, Early and Joyce,
 * "Selecting several samples from a single population", 1972.
 *
 * @param members Instances that the caller may use.
 * @param caller Address of the caller, without the port.
 * @param maxCount Maximum number of instances to return.
 */
export function selectByCapacity(
  members: readonly MemberRecord[],
  caller: string,
  maxCount: number,
): readonly MemberRecord[] {
  const weights = listCapacityWeights(members);
  if (weights === undefined) return members;
  // The rated capacity, as the shares of all others would change whenever the largest is behind.
  const largest = Math.max(
    ...members.map(({ capacity }) => capacity!.ratedCores),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const scale = Math.min(1 / largest, maxCount / total);
  const ranked = members.map((member, at): Candidate => ({
    member,
    hash: (computeUncachedWeight(caller, member.id) + 1) / (WEIGHT_VALUES + 1),
    share: weights[at]! * scale,
  })).sort(compareCandidates);
  const inShare = ranked.filter(({ hash, share }) => hash < share).length;
  const count = Math.min(Math.max(inShare, MIN_SELECTED), maxCount);
  return spreadOverDomains(ranked.map(({ member }) => member), count);
}

/** Compares by the hash in proportion to the share: first come those within their share. */
function compareCandidates(one: Candidate, other: Candidate): number {
  return one.hash / one.share - other.hash / other.share ||
    (one.member.id < other.member.id ? -1 : 1);
}

/**
 * Returns the first members. If all of them are of one failure domain, the last one is
 * replaced by the first one of another domain.
 */
function spreadOverDomains(
  ranked: readonly MemberRecord[],
  count: number,
): readonly MemberRecord[] {
  const selected = ranked.slice(0, count);
  const [first] = selected;
  const isOther = ({ failureDomain }: MemberRecord) =>
    failureDomain !== first?.failureDomain;
  if (selected.some(isOther)) return selected;
  const other = ranked.find(isOther);
  return other === undefined ? selected : [...selected.slice(0, -1), other];
}
