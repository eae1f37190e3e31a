import { isLeaving, type MemberRecord } from "./fleet_report.ts";

/**
 * Number of instances that represent a region and follow the store for it: one more
 * than needed, so that the loss of one causes no delay.
 */
export const RELAYS_PER_REGION = 2;

/** A member of the local region, with its reported connection to the store. */
export interface RelayCandidate {
  readonly member: MemberRecord;
  /** Whether the store has not answered it recently. */
  readonly isStoreLost: boolean;
}

/**
 * Returns the representatives of a region: the first instance by id, and the first one
 * of another failure domain, so that the region stays represented when one domain
 * fails. In a region with one domain they are the first two by id.
 *
 * @param members Live members of the region, in any order.
 */
export function pickRepresentatives(
  members: readonly MemberRecord[],
): readonly MemberRecord[] {
  const first = findFirst(members);
  if (first === undefined) return [];
  const others = members.filter(({ id }) => id !== first.id);
  const second = findFirst(
    others.filter(({ failureDomain }) => failureDomain !== first.failureDomain),
  ) ?? findFirst(others);
  return second === undefined ? [first] : [first, second];
}

/** Returns the member whose id comes first. */
function findFirst(members: readonly MemberRecord[]): MemberRecord | undefined {
  return members.reduce<MemberRecord | undefined>(
    (first, member) =>
      first === undefined || member.id < first.id ? member : first,
    undefined,
  );
}

/**
 * Returns the instances of a region that follow the store and pass its changes on to
 * the others. The region representatives always do, also to notice when the store is
 * reachable again. Representatives that leave, or that the store does not answer, are
 * additionally replaced by the next members.
 *
 * @param candidates Live members of the region.
 */
export function pickRelays(
  candidates: readonly RelayCandidate[],
): readonly MemberRecord[] {
  const available = candidates.filter(({ isStoreLost, member }) =>
    !isStoreLost && !isLeaving(member.state)
  );
  const representatives = pickRepresentatives(
    candidates.map(({ member }) => member),
  );
  const replacements = pickRepresentatives(
    available.map(({ member }) => member),
  );
  return [...new Set([...representatives, ...replacements])];
}
