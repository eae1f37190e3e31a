import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { MemberRecord, MemberState } from "../fleet/mod.ts";
import { findHostHomes, type HttpRoute } from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createFleetView, createMember } from "../tests/member_fixture.ts";
import { createReport } from "../tests/report_fixture.ts";
import { createRoute } from "../tests/route_fixture.ts";
import { type EntryAnswer, pickEntries } from "./pick_entries.ts";

const REGIONS = ["north", "south", "west", "east"];
const STATES: readonly MemberState[] = [
  "starting",
  "ready",
  "leaving",
  "lingering",
];
const MAX_CALLS = 100;
/** Maximum fraction of calls with home regions that an answer may direct to other regions. */
const MAX_OUTSIDE_HOME_FRACTION = 1 / 20;

/** A route of the host: its home regions (`undefined`: any region) and its recent calls. */
interface UsedRoute {
  readonly homes: readonly string[] | undefined;
  readonly calls: number;
}

/** Members of the fleet, the routes of a host, and the region of a caller. */
interface Situation {
  readonly members: readonly (readonly [region: string, state: MemberState])[];
  readonly routes: readonly UsedRoute[];
  readonly caller: string;
}

const anyRegion = fc.constantFrom(...REGIONS);
const anySituation: fc.Arbitrary<Situation> = fc.record({
  members: fc.array(
    fc.tuple(anyRegion, fc.constantFrom(...STATES)),
    { minLength: 1, maxLength: 12 },
  ),
  routes: fc.array(
    fc.record({
      homes: fc.option(fc.uniqueArray(anyRegion), { nil: undefined }),
      calls: fc.nat({ max: MAX_CALLS }),
    }),
    { maxLength: 6 },
  ),
  caller: anyRegion,
});

/** Capacities of the members, in turn, in cores. */
const CORES = [0.243, 1.35, 0.675, 0.324];

/**
 * Returns the answer that the first member of the list gives to the caller.
 *
 * @param address IP address of the caller. Default: unknown, as are all capacities.
 */
function answer(
  { caller, members, routes }: Situation,
  address?: string,
): EntryAnswer {
  const [own, ...others] = members;
  const [ownRegion, ownState] = own!;
  const addCapacity = (member: MemberRecord, at: number): MemberRecord => {
    const cores = CORES[at % CORES.length]!;
    const capacity = { ratedCores: cores, currentCores: cores };
    return address === undefined ? member : { ...member, capacity };
  };
  const fleet = createFleetView(
    addCapacity(createMember("self", ownRegion), 0),
  );
  fleet.setState(ownState, 0);
  others.forEach(([region, state], at) => {
    const member = { ...createMember(`member-${at}`, region), state };
    fleet.applyReport(createReport(addCapacity(member, at + 1), 1), 0);
  });
  const used = new Map(
    routes.map(({ calls, homes }, at): [HttpRoute, number] => [
      createRoute(`/${at}/`, homes),
      calls,
    ]),
  );
  const findHomes = () =>
    findHostHomes([...used.keys()], (route) => used.get(route)!);
  const request = { region: toRegionId(caller), findHomes };
  return pickEntries(
    fleet,
    address === undefined ? request : { ...request, caller: address },
    1,
  );
}

function sumCalls(routes: readonly UsedRoute[]): number {
  return routes.reduce((sum, { calls }) => sum + calls, 0);
}

/** Returns whether calls of the host may be directed to a region that is not the caller's. */
function mayDirect(routes: readonly UsedRoute[], region: string): boolean {
  // Any call of an unknown host may have home regions.
  if (routes.length === 0) return false;
  const bound = routes.filter(({ homes }) => homes !== undefined);
  const excluding = bound.filter(({ homes }) => !homes!.includes(region));
  return excluding.length === 0 ||
    sumCalls(excluding) <= MAX_OUTSIDE_HOME_FRACTION * sumCalls(bound) &&
      sumCalls(bound) > 0;
}

describe("pickEntries(), for any instances and any home regions of a host's calls", () => {
  it("directs at most one in twenty calls with home regions to other regions", () => {
    fc.assert(
      fc.property(anySituation, (situation) => {
        const { caller, routes } = situation;
        answer(situation).entries.forEach(({ region }) =>
          assert.ok(region === caller || mayDirect(routes, region), region)
        );
      }),
      { seed: 20_261_203, numRuns: 2_000 },
    );
  });

  it("names only instances of the caller's region while one of them is ready", () => {
    fc.assert(
      fc.property(anySituation, (situation) => {
        const { caller, members } = situation;
        const ready = members.filter(([region, state]) =>
          region === caller && state === "ready"
        );
        fc.pre(ready.length > 0);
        const { choice, entries } = answer(situation);
        assert.equal(choice, "near");
        assert.equal(entries.length, ready.length);
      }),
      { seed: 20_261_203, numRuns: 500 },
    );
  });

  it("names an instance while one that may serve all of the host's calls accepts any call", () => {
    fc.assert(
      fc.property(anySituation, (situation) => {
        const { members, routes } = situation;
        const isHome = (region: string) =>
          routes.length > 0 &&
          routes.every(({ homes }) => homes?.includes(region) ?? true);
        const able = members.filter(([region, state]) =>
          isHome(region) && (state === "ready" || state === "lingering")
        );
        fc.pre(able.length > 0);
        assert.notEqual(answer(situation).choice, "none");
      }),
      { seed: 20_261_203, numRuns: 500 },
    );
  });

  // A caller must not be directed elsewhere, or to nobody, because instances differ in size.
  it("makes the same choice whatever the capacities, and names at least 3 of the same instances", () => {
    fc.assert(
      fc.property(anySituation, fc.ipV4(), (situation, address) => {
        const { entries, ...all } = answer(situation);
        const { entries: selected, ...other } = answer(situation, address);
        assert.deepEqual(other, all);
        const ids = entries.map(({ id }) => id);
        assert.ok(selected.every(({ id }) => ids.includes(id)));
        assert.ok(selected.length >= Math.min(3, ids.length));
      }),
      { seed: 20_261_204, numRuns: 1_000 },
    );
  });
});
