import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { toFailureDomainId } from "../ids/mod.ts";
import type { MemberRecord, MemberState } from "./fleet_report.ts";
import {
  pickRelays,
  pickRepresentatives,
  type RelayCandidate,
  RELAYS_PER_REGION,
} from "./pick_relays.ts";
import { createMember as createNamedMember } from "../tests/member_fixture.ts";

function createMember(
  name: string,
  domain: string,
  state: MemberState = "ready",
): MemberRecord {
  const failureDomain = toFailureDomainId(domain);
  return { ...createNamedMember(name), failureDomain, state };
}

function createSized(
  name: string,
  domain: string,
  cores: number,
): MemberRecord {
  const capacity = { ratedCores: cores, currentCores: cores };
  return { ...createMember(name, domain), capacity };
}

function listIds(members: readonly MemberRecord[]): readonly string[] {
  return members.map(({ id }) => id);
}

const CANDIDATES = fc.uniqueArray(
  fc.record({
    name: fc.integer({ min: 0, max: 200 }),
    domain: fc.constantFrom("a", "b", "c"),
    state: fc.constantFrom<MemberState>("starting", "ready", "leaving"),
    isStoreLost: fc.boolean(),
  }),
  { selector: ({ name }) => name, minLength: 1, maxLength: 60 },
).map((all) =>
  all.map(({ name, domain, state, isStoreLost }): RelayCandidate => ({
    member: createMember(`i-${name}`, domain, state),
    isStoreLost,
  }))
);

describe("pickRepresentatives()", () => {
  it("picks the first member of each of two failure domains", () => {
    const members = ["a", "a", "b", "b"].map((domain, at) =>
      createMember(`i-${at}`, domain)
    );
    assert.deepEqual(listIds(pickRepresentatives(members)), ["i-0", "i-2"]);
  });

  it("picks the largest members by class, then by id, so that small ones do not aggregate", () => {
    const members = [0.175, 1.1, 0.6, 1.35, 0.175, 0.6].map((cores, at) =>
      createSized(`i-${at}`, at < 4 ? "a" : "b", cores)
    );
    assert.deepEqual(listIds(pickRepresentatives(members)), ["i-1", "i-5"]);
  });

  // Instances of earlier versions rank by id alone. If others ranked by capacity beside
  // them, up to four instances would aggregate, and reports of regions would get lost.
  it("ranks by id alone while a member reports no capacity", () => {
    const members = [
      createSized("i-0", "a", 0.175),
      createSized("i-1", "a", 1.35),
      createMember("i-2", "b"),
    ];
    assert.deepEqual(listIds(pickRepresentatives(members)), ["i-0", "i-2"]);
    const candidates = members.map((member) => ({
      member,
      isStoreLost: member.id === "i-2",
    }));
    assert.deepEqual(listIds(pickRelays(candidates)), ["i-0", "i-2", "i-1"]);
  });

  it("picks the first two members if there is one failure domain", () => {
    const members = [2, 0, 1].map((at) => createMember(`i-${at}`, "a"));
    assert.deepEqual(listIds(pickRepresentatives(members)), ["i-0", "i-1"]);
  });
});

describe("pickRelays()", () => {
  it("adds the next members for representatives that leave or have lost the store", () => {
    const candidates = [
      { member: createMember("i-0", "a"), isStoreLost: true },
      { member: createMember("i-1", "b", "leaving"), isStoreLost: false },
      { member: createMember("i-2", "a"), isStoreLost: false },
      { member: createMember("i-3", "b"), isStoreLost: false },
      { member: createMember("i-4", "b"), isStoreLost: false },
    ];
    assert.deepEqual(listIds(pickRelays(candidates)), [
      "i-0",
      "i-1",
      "i-2",
      "i-3",
    ]);
  });

  it("always picks members that can follow the store if there are any, and few in all", () => {
    fc.assert(
      fc.property(CANDIDATES, (candidates) => {
        const relays = new Set(listIds(pickRelays(candidates)));
        const able = candidates.filter(({ isStoreLost, member }) =>
          !isStoreLost && member.state !== "leaving"
        );
        assert.ok(relays.size >= 1 && relays.size <= 2 * RELAYS_PER_REGION);
        const ableRelays = able.filter(({ member }) => relays.has(member.id));
        assert.ok(
          ableRelays.length >= Math.min(able.length, RELAYS_PER_REGION),
        );
      }),
      { seed: 20_261_202 },
    );
  });

  it("picks the same members in whatever order they are given", () => {
    fc.assert(
      fc.property(CANDIDATES, (candidates) => {
        assert.deepEqual(
          listIds(pickRelays(candidates)),
          listIds(pickRelays([...candidates].reverse())),
        );
      }),
      { seed: 20_261_202 },
    );
  });
});
