import { type InstanceId, toInstanceId } from "../ids/mod.ts";
import { createMember } from "./member_fixture.ts";

/** Returns the id of an instance of region `north`. */
export function toMemberId(index: number): InstanceId {
  return toInstanceId(`north-${index}`);
}

/** Returns one instance's view of the instances that share rate bounds; tests may change it. */
export function createFleetStub(
  self: InstanceId,
  known: readonly InstanceId[],
) {
  const fleet = {
    self: createMember(self),
    membershipVersion: 1,
    known,
    isSettledNow: true,
    isSettled: () => fleet.isSettledNow,
    listInstancesSharingLimits: () => fleet.known,
  };
  return fleet;
}

/**
 * Returns the members that an instance knows, where every second instance does not know
 * one of the others yet.
 *
 * @param all Members.
 * @param index Index of the instance among the members.
 * @param unknown Index of the unknown member, modulo the number of members.
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

/** Returns the maximum number of sends in any span of `spanMs` milliseconds that ends with a send. */
export function countMaxSends(
  sentMs: readonly number[],
  spanMs: number,
): number {
  return sentMs.reduce((max, endMs) => {
    const inSpan = sentMs.filter((atMs) =>
      atMs <= endMs && atMs > endMs - spanMs
    );
    return Math.max(max, inSpan.length);
  }, 0);
}
