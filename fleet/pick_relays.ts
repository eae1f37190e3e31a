import { isLeaving, type MemberRecord } from "./fleet_report.ts";

/**
 * Instances of a region that speak for it and follow the store for it: one more
 * than are needed, so that the loss of one is not waited for.
 */
export const RELAYS_PER_REGION = 2;

/** A member of the own region, with what it says of the store. */
export interface RelayCandidate {
  readonly member: MemberRecord;
  /** Whether the store does not answer it. */
  readonly isStoreLost: boolean;
}

/**
 * Returns the instances that speak for a region: the first by id, and the first
 * of another failure domain, so that one domain can be lost. Where there is one
 * domain, the first two.
 *
 * @param members The members of the region that run, in any order.
 */
export function pickSpeakers(
  members: readonly MemberRecord[],
): readonly MemberRecord[] {
  const sorted = [...members].sort((a, b) => a.id < b.id ? -1 : 1);
  const [first, ...rest] = sorted;
  if (first === undefined) return [];
  const elsewhere = rest.filter(({ failureDomain }) =>
    failureDomain !== first.failureDomain
  );
  const others = [
    ...elsewhere,
    ...rest.filter((one) => !elsewhere.includes(one)),
  ];
  return [first, ...others.slice(0, RELAYS_PER_REGION - 1)];
}

/**
 * Returns the instances of a region that follow the store; the others hear of
 * changes from them. The speakers do so always: they also notice the store's
 * return. Those that leave, or that the store does not answer, are stood in for
 * by the next ones.
 *
 * @param candidates The members of the region that run.
 */
export function pickRelays(
  candidates: readonly RelayCandidate[],
): readonly MemberRecord[] {
  const able = candidates.filter(({ isStoreLost, member }) =>
    !isStoreLost && !isLeaving(member.state)
  );
  const speakers = pickSpeakers(candidates.map(({ member }) => member));
  const standIns = pickSpeakers(able.map(({ member }) => member));
  return [...new Set([...speakers, ...standIns])];
}
