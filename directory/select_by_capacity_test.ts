// Guards against callers that all use a small instance as often as a large one, and against answers that name too few instances to survive the loss of one.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { MemberRecord } from "../fleet/mod.ts";
import { toFailureDomainId } from "../ids/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { MIN_SELECTED, selectByCapacity } from "./select_by_capacity.ts";

const CORES = [0.243, 0.324, 0.675, 1.35];
const MAX_COUNT = 64;
const CALLERS = Array.from({ length: 1_000 }, (_, at) => `10.0.3.${at}`);

function createSized(
  at: number,
  cores: number,
  domain = at % 2 === 0 ? "a" : "b",
): MemberRecord {
  return {
    ...createMember(`i-${at}`),
    failureDomain: toFailureDomainId(domain),
    capacity: { ratedCores: cores, currentCores: cores },
  };
}

function select(members: readonly MemberRecord[], caller: string) {
  return selectByCapacity(members, caller, MAX_COUNT);
}

/** Returns the calls that each instance gets when each caller makes one. */
function countCalls(members: readonly MemberRecord[]) {
  const counts = new Map(members.map(({ id }) => [id, 0]));
  CALLERS.forEach((caller) => {
    const selected = select(members, caller);
    selected.forEach(({ id }) =>
      counts.set(id, counts.get(id)! + 1 / selected.length)
    );
  });
  return counts;
}

const REGION = Array.from(
  { length: 24 },
  (_, at) => createSized(at, CORES[at % CORES.length]!),
);

const anyMembers = fc.array(
  fc.tuple(fc.constantFrom(...CORES), fc.constantFrom("a", "b", "c")),
  { minLength: 1, maxLength: 150 },
).map((all) =>
  all.map(([cores, domain], at) => createSized(at, cores, domain))
);

describe("selectByCapacity()", () => {
  it("spreads callers in proportion to capacity", () => {
    const total = REGION.reduce(
      (sum, { capacity }) => sum + capacity!.currentCores,
      0,
    );
    const counts = countCalls(REGION);
    REGION.forEach(({ capacity, id }) => {
      const share = counts.get(id)! / CALLERS.length;
      const wanted = capacity!.currentCores / total;
      assert.ok(share < 1.35 * wanted && share > 0.7 * wanted, `${share}`);
    });
  });

  it("names at least 3 instances and two failure domains, and at most the maximum", () => {
    fc.assert(
      fc.property(anyMembers, fc.ipV4(), (members, caller) => {
        const selected = select(members, caller);
        const domains = new Set(members.map((one) => one.failureDomain));
        const named = new Set(selected.map((one) => one.failureDomain));
        assert.equal(new Set(selected).size, selected.length);
        assert.ok(selected.length >= Math.min(MIN_SELECTED, members.length));
        assert.ok(named.size >= Math.min(2, domains.size));
        const isWeighted = members.some(({ capacity }) =>
          capacity!.ratedCores !== members[0]!.capacity!.ratedCores
        );
        if (isWeighted) assert.ok(selected.length <= MAX_COUNT);
      }),
      { seed: 20_261_204 },
    );
  });

  it("names all instances, as before, if a capacity is unknown or all are alike", () => {
    const { capacity: _, ...unknown } = REGION[0]!;
    const mixed = [unknown, ...REGION.slice(1)];
    assert.deepEqual(select(mixed, "10.0.0.1"), mixed);
    const alike = REGION.map((_, at) => createSized(at, 0.675));
    assert.deepEqual(select(alike, "10.0.0.1"), alike);
    // An instance that is behind must not make all callers reconnect.
    const { capacity } = alike[0]!;
    const isBehind = {
      ...alike[0]!,
      capacity: { ...capacity!, currentCores: 0.3 },
    };
    const others = [isBehind, ...alike.slice(1)];
    assert.deepEqual(select(others, "10.0.0.1"), others);
  });

  it("gives a caller the same answer in whatever order the instances are known", () => {
    CALLERS.slice(0, 50).forEach((caller) =>
      assert.deepEqual(
        select([...REGION].reverse(), caller),
        select(REGION, caller),
      )
    );
  });

  // Callers close their connections to instances that an answer no longer names.
  it("takes no other instance from a caller when one dies, changes or starts", () => {
    const [, second, ...others] = REGION;
    const changed = [REGION[0]!, createSized(1, 0.15), ...others];
    CALLERS.forEach((caller) => {
      const before = select(REGION, caller);
      [[REGION[0]!, ...others], changed].forEach((after) => {
        const named = new Set(select(after, caller).map(({ id }) => id));
        const lost = before.filter(({ id }) => !named.has(id));
        assert.ok(lost.every(({ id }) => id === second!.id), `${lost.length}`);
      });
    });
  });

  it("spreads callers over the others when all large instances die", () => {
    const left = REGION.filter(({ capacity }) => capacity!.currentCores < 0.6);
    const counts = [...countCalls(left).values()];
    const mean = CALLERS.length / left.length;
    assert.ok(Math.max(...counts) < 1.4 * mean, `${Math.max(...counts)}`);
  });

  it("moves callers away from an instance that is behind", () => {
    const [first, ...others] = REGION.filter((one) =>
      one.capacity!.ratedCores === 0.675
    );
    const isBehind = {
      ...first!,
      capacity: { ratedCores: 0.675, currentCores: 0.675 / 4 },
    };
    const members = REGION.map((one) => one.id === first!.id ? isBehind : one);
    const counts = countCalls(members);
    assert.ok(counts.get(first!.id)! < 0.4 * counts.get(others[0]!.id)!);
  });
});
