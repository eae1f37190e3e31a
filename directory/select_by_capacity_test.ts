// Guards against callers that all use a small instance as often as a large one, and against answers that name too few instances to survive the loss of one.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { MemberRecord } from "../fleet/mod.ts";
import { toFailureDomainId } from "../ids/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { selectByCapacity } from "./select_by_capacity.ts";

const CORES = [0.243, 0.324, 0.675, 1.35];
const MAX_COUNT = 64;
const CALLERS = Array.from({ length: 1_000 }, (_, at) => `10.0.3.${at}`);
const REGION = Array.from(
  { length: 24 },
  (_, at) => createSized(at, CORES[at % CORES.length]!),
);

function createSized(
  at: number,
  ratedCores: number,
  currentCores = ratedCores,
  domain = at % 2 === 0 ? "a" : "b",
): MemberRecord {
  return {
    ...createMember(`i-${at}`),
    failureDomain: toFailureDomainId(domain),
    capacity: { ratedCores, currentCores },
  };
}

function select(members: readonly MemberRecord[], caller: string) {
  return selectByCapacity(members, caller, MAX_COUNT);
}

/** Checks that callers, who each make one call, use instances in proportion to capacity. */
function assertShares(members: readonly MemberRecord[]): void {
  const total = members.reduce(
    (sum, { capacity }) => sum + capacity!.currentCores,
    0,
  );
  const answers = CALLERS.map((caller) => select(members, caller));
  members.forEach((member) => {
    const calls = answers.filter((answer) => answer.includes(member))
      .reduce((sum, { length }) => sum + 1 / length, 0);
    const wanted = CALLERS.length * member.capacity!.currentCores / total;
    assert.ok(calls < 1.4 * wanted && calls > 0.6 * wanted, `${calls}`);
  });
}

describe("selectByCapacity()", () => {
  it("spreads callers in proportion, also if one is behind or all large ones are dead", () => {
    assertShares(REGION);
    assertShares([...REGION.slice(0, 23), createSized(23, 1.35, 0.3375)]);
    assertShares(REGION.filter((one) => one.capacity!.ratedCores < 0.6));
  });

  it("names at least 3 instances and two failure domains, and at most the maximum", () => {
    const anyMembers = fc.array(
      fc.tuple(fc.constantFrom(...CORES), fc.constantFrom("a", "b", "c")),
      { minLength: 1, maxLength: 150 },
    ).map((all) =>
      all.map(([cores, domain], at) => createSized(at, cores, cores, domain))
    );
    const countDomains = (members: readonly MemberRecord[]) =>
      new Set(members.map(({ failureDomain }) => failureDomain)).size;
    fc.assert(
      fc.property(anyMembers, fc.ipV4(), (members, caller) => {
        const selected = select(members, caller);
        assert.equal(new Set(selected).size, selected.length);
        assert.ok(selected.length >= Math.min(3, members.length));
        assert.ok(countDomains(selected) >= Math.min(2, countDomains(members)));
        assert.ok(selected.length <= MAX_COUNT || selected === members);
      }),
      { seed: 20_261_204 },
    );
  });

  // An equal instance that is behind must not make all callers reconnect.
  it("names all instances, as before, if a capacity is unknown or all are alike", () => {
    const { capacity: _, ...unknown } = REGION[0]!;
    const alike = [
      createSized(0, 1, 0.5),
      createSized(1, 1),
      ...Array(9).fill(createSized(2, 1)),
    ];
    [[unknown, ...REGION.slice(1)], alike].forEach((members) =>
      assert.equal(select(members, "10.0.0.1"), members)
    );
  });

  // Callers would close connections to all other instances when the only large one, after
  // it was behind, has caught up.
  it("changes the other instances of hardly any caller when the only largest one is behind", () => {
    const sized = REGION.map((_, at) => createSized(at, at === 3 ? 1.35 : 0.5));
    const behind = sized.map((member, at) =>
      at === 3 ? createSized(at, 1.35, 0.675) : member
    );
    const listOthers = (members: readonly MemberRecord[], caller: string) =>
      select(members, caller).map(({ id }) => id)
        .filter((id) => id !== REGION[3]!.id).sort();
    const changed = CALLERS.filter((caller) =>
      `${listOthers(behind, caller)}` !== `${listOthers(sized, caller)}`
    );
    // Callers with fewer than three instances in their share get the next ones.
    assert.ok(changed.length < 0.01 * CALLERS.length, `${changed.length}`);
  });

  // Callers close their connections to instances that an answer no longer names.
  it("takes no other instance from a caller when one dies or changes, whatever the order", () => {
    const others = REGION.filter((_, at) => at !== 1);
    const changed = [createSized(1, 0.324, 0.15), ...others];
    CALLERS.forEach((caller) => {
      const before = select(REGION, caller);
      [others, changed, [...REGION].reverse()].forEach((members) => {
        const named = select(members, caller).map(({ id }) => id);
        const lost = before.filter(({ id }) => !named.includes(id));
        assert.ok(lost.every(({ id }) => id === REGION[1]!.id));
      });
    });
  });
});
