import { type InstanceId, toInstanceId } from "../ids/mod.ts";
import { createMember } from "./member_fixture.ts";

/** Returns the name of an instance of region `north`. */
export function toMemberName(index: number): InstanceId {
  return toInstanceId(`north-${index}`);
}

/** Returns who shares bounds as one instance sees it; what it sees can be changed. */
export function createSharing(
  self: InstanceId,
  known: readonly InstanceId[],
) {
  const fleet = {
    self: createMember(self),
    membershipVersion: 1,
    known,
    isSettledNow: true,
    isSettled: () => fleet.isSettledNow,
    listSharing: () => fleet.known,
  };
  return fleet;
}

/**
 * Returns the members that an instance knows, where half of them do not know one of the
 * others yet.
 *
 * @param all Members.
 * @param index Place of the instance among them.
 * @param unknown Which is not known; any number.
 */
export function listKnownMembers(
  all: readonly InstanceId[],
  index: number,
  unknown: number,
): readonly InstanceId[] {
  const isBehind = index % 2 === 0;
  return all.filter((id, at) =>
    at === index || !isBehind || id !== all[unknown % all.length]
  );
}

/** Returns the most sends in any span of some milliseconds that ends with one. */
export function countMostSends(
  sentMs: readonly number[],
  spanMs: number,
): number {
  return sentMs.reduce((most, endMs) => {
    const inSpan = sentMs.filter((atMs) =>
      atMs <= endMs && atMs > endMs - spanMs
    );
    return Math.max(most, inSpan.length);
  }, 0);
}
