import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { MemberState } from "../fleet/mod.ts";
import { findHostHomes, type HttpRoute } from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createFleet, createMember } from "../tests/member_fixture.ts";
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
const MOST_CALLS = 100;
/** Part of the calls with homes that an answer may lead away from them. */
const STRAYING_PART = 1 / 20;

/** A route of the host: its homes, none where it is bound to no region, and its calls lately. */
interface UsedRoute {
  readonly homes: readonly string[] | undefined;
  readonly calls: number;
}

/** Members of the fleet, the routes of a host, and where a caller of it is. */
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
      calls: fc.nat({ max: MOST_CALLS }),
    }),
    { maxLength: 6 },
  ),
  caller: anyRegion,
});

/** Answers a caller; the first member of the list does. */
function answer({ caller, members, routes }: Situation): EntryAnswer {
  const [own, ...others] = members;
  const [ownRegion, ownState] = own!;
  const fleet = createFleet(createMember("self", ownRegion));
  fleet.setState(ownState, 0);
  others.forEach(([region, state], at) => {
    const member = { ...createMember(`member-${at}`, region), state };
    fleet.applyReport(createReport(member, 1), 0);
  });
  const used = new Map(
    routes.map(({ calls, homes }, at): [HttpRoute, number] => [
      createRoute(`/${at}/`, homes),
      calls,
    ]),
  );
  const findHomes = () =>
    findHostHomes([...used.keys()], (route) => used.get(route)!);
  return pickEntries(fleet, { region: toRegionId(caller), findHomes }, 1);
}

function sumCalls(routes: readonly UsedRoute[]): number {
  return routes.reduce((sum, { calls }) => sum + calls, 0);
}

/** Whether calls of the host may be led to a region that is not the caller's. */
function mayLead(routes: readonly UsedRoute[], region: string): boolean {
  // Of a host that is not known any call may be bound.
  if (routes.length === 0) return false;
  const bound = routes.filter(({ homes }) => homes !== undefined);
  const straying = bound.filter(({ homes }) => !homes!.includes(region));
  return straying.length === 0 ||
    sumCalls(straying) <= STRAYING_PART * sumCalls(bound) &&
      sumCalls(bound) > 0;
}

describe("pickEntries(), whatever runs and whatever a host's calls are bound to", () => {
  it("leads no more than one in twenty bound calls away from their homes", () => {
    fc.assert(
      fc.property(anySituation, (situation) => {
        const { caller, routes } = situation;
        answer(situation).entries.forEach(({ region }) =>
          assert.ok(region === caller || mayLead(routes, region), region)
        );
      }),
      { seed: 20_261_203, numRuns: 2_000 },
    );
  });

  it("names those of the caller's region alone while one of them is ready", () => {
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

  it("names somebody while any instance that may serve all of the host's calls takes some", () => {
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
});
