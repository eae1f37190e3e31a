import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { MemberRecord } from "../fleet/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { canWithdrawInTime } from "./can_withdraw_in_time.ts";
import type { SendDestination } from "./settle_attempt.ts";

const KEEPS_UP = { ratedCores: 1, currentCores: 1 };
const BEHIND = { ratedCores: 1, currentCores: 0.5 };
const LOCAL = { kind: "local" } as SendDestination;

function check(
  destination: SendDestination,
  { delayMs = 0, members = [], self = createMember("self") }: {
    readonly delayMs?: number;
    readonly members?: readonly MemberRecord[];
    readonly self?: MemberRecord;
  } = {},
): boolean {
  return canWithdrawInTime(destination, 0, {
    fleet: { self, listResponsive: () => members },
    readRecentDelayMs: () => delayMs,
  });
}

describe("canWithdrawInTime()", () => {
  describe("when the call is at a server of the same region", () => {
    it("needs an event loop that kept up", () => {
      assert.equal(check(LOCAL, { delayMs: 74 }), true);
      assert.equal(check(LOCAL, { delayMs: 75 }), false);
    });

    it("needs an instance that reports its rated capacity", () => {
      const self = createMember("self");
      assert.equal(
        check(LOCAL, { self: { ...self, capacity: KEEPS_UP } }),
        true,
      );
      assert.equal(
        check(LOCAL, { self: { ...self, capacity: BEHIND } }),
        false,
      );
    });
  });

  describe("when the call is at another instance", () => {
    const far = createMember("far", "south");
    const destination = {
      kind: "remote",
      member: far,
      region: far.region,
    } as SendDestination;

    it("needs that this instance keeps up, by its latest report", () => {
      const isInTime = (member: MemberRecord) =>
        check(destination, { members: [member] });
      assert.equal(isInTime(far), true);
      assert.equal(isInTime({ ...far, capacity: KEEPS_UP }), true);
      assert.equal(isInTime({ ...far, capacity: BEHIND }), false);
    });

    it("needs that it is heard of", () => {
      assert.equal(check(destination), false);
    });
  });
});
