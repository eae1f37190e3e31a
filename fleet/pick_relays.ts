import { toCapacityClass } from "../capacity/mod.ts";
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

/** Returns whether one member comes before another one in the order of a region's members. */
type IsBefore = (one: MemberRecord, other: MemberRecord) => boolean;

/**
 * Returns the representatives of a region: the first instance, and the first one of
 * another failure domain, so that the region stays represented when one domain fails.
 * In a region with one domain they are the first two. Instances are ordered by the class
 * of their capacity, the largest first, then by id.
 *
 * While the capacity of one member is unknown, the order is by id alone. Instances of
 * earlier versions report no capacity and order all members by id, so that all
 * instances pick the same representatives during an upgrade.
 *
 * @param members Live members of the region, in any order.
 * @param region All live members of the region. Default: the same.
 */
export function pickRepresentatives(
  members: readonly MemberRecord[],
  region = members,
): readonly MemberRecord[] {
  const isBefore = pickOrder(region);
  const first = findFirst(members, isBefore);
  if (first === undefined) return [];
  const others = members.filter(({ id }) => id !== first.id);
  const second = findFirst(
    others.filter(({ failureDomain }) => failureDomain !== first.failureDomain),
    isBefore,
  ) ?? findFirst(others, isBefore);
  return second === undefined ? [first] : [first, second];
}

function pickOrder(members: readonly MemberRecord[]): IsBefore {
  const isKnown = members.every(({ capacity }) => capacity !== undefined);
  if (!isKnown) return (one, other) => one.id < other.id;
  return (one, other) => {
    const difference = toCapacityClass(other.capacity!) -
      toCapacityClass(one.capacity!);
    return difference < 0 || difference === 0 && one.id < other.id;
  };
}

/** Returns the member that comes first in an order. */
function findFirst(
  members: readonly MemberRecord[],
  isBefore: IsBefore,
): MemberRecord | undefined {
  return members.reduce<MemberRecord | undefined>(
    (first, member) =>
      first === undefined || isBefore(member, first) ? member : first,
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
  const region = candidates.map(({ member }) => member);
  const representatives = pickRepresentatives(region);
  const replacements = pickRepresentatives(
    available.map(({ member }) => member),
    region,
  );
  return [...new Set([...representatives, ...replacements])];
}
