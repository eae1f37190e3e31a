// A route whose residency rule is missing, as when an entry that names it arrives
// without the rule's own, had no homes left and counted as one whose calls may go to
// any region: no region allowed and every region allowed were both an empty list.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationState } from "../configuration/mod.ts";
import { findHostHomes, type RouteTable } from "../http_routes/mod.ts";
import type { ResourceChange } from "../resources/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { computeTokenHash, identifyTeam } from "../teams/mod.ts";
import { CatalogState } from "./catalog_state.ts";

/** Puts changes in force, and returns the table of routes that follows. */
function applyChanges(changes: readonly ResourceChange[]): RouteTable {
  const configuration = new ConfigurationState();
  let table: RouteTable | undefined;
  new CatalogState(configuration, {
    registry: new ServerRegistry({ readWarmUpMs: () => 0 }),
    applyTable: (applied) => {
      table = applied;
    },
    onServers: () => {},
    onRefusedCall: () => {},
    onRestored: () => {},
    isRelay: () => true,
  }, () => 0);
  configuration.apply({
    sequence: 1,
    changeId: "c1",
    acceptedMs: 0,
    operator: "o",
    instance: "i",
    changes,
  });
  return table!;
}

const SPEC = {
  host: "app.example",
  pathPrefix: "/",
  routeClass: "idempotent" as const,
  timeoutMs: 1_000,
  targetMs: 500,
  priority: 0,
  public: true,
  services: [{ service: "app", weight: 1 }],
  maxAttempts: 1,
  resumable: false,
};

/** Puts one route in force, with the rule that it names or without. */
function applyRoute(residency: string | undefined, ...rules: string[]) {
  const table = applyChanges([
    { kind: "http-route", name: "r", spec: { ...SPEC, residency } },
    ...rules.map((name): ResourceChange => ({
      kind: "residency",
      name,
      spec: { regions: ["north"] },
    })),
  ]);
  return findHostHomes(table.listRoutes("app.example"), () => 0);
}

describe("the homes of a route", () => {
  it("are the regions of its residency rule", () => {
    assert.deepEqual(applyRoute("eu", "eu"), {
      kind: "bound",
      regions: ["north"],
      usual: [],
    });
  });

  it("are all regions where it names no rule", () => {
    assert.deepEqual(applyRoute(undefined), { kind: "anywhere" });
  });

  it("are none where the rule that it names is missing", () => {
    assert.deepEqual(applyRoute("eu"), {
      kind: "bound",
      regions: [],
      usual: [],
    });
  });
});

describe("the teams of plain routes", () => {
  const team: ResourceChange = {
    kind: "team",
    name: "roasters",
    spec: {
      role: "caller",
      tokenHashes: [computeTokenHash("key-1")],
      services: ["*"],
      requestsPerSecond: 60,
      concurrentStreams: 10,
      residency: "eu",
    },
  };
  const applyTeam = (isPublic: boolean) =>
    applyChanges([
      { kind: "residency", name: "eu", spec: { regions: ["north"] } },
      team,
      { kind: "http-route", name: "r", spec: { ...SPEC, public: isPublic } },
    ]).configuration.teams;

  it("are those of the catalog, with their keys, homes and requests a second", () => {
    const found = identifyTeam(applyTeam(false)!, ["Bearer key-1"]);
    const { homeRegions, id, limit } = found._unsafeUnwrap().team;
    assert.equal(id, "roasters");
    assert.deepEqual(homeRegions, ["north"]);
    assert.equal(limit?.perSecond, 60);
    assert.equal(limit?.unit, "requests");
  });

  it("are none where all routes are public", () => {
    assert.equal(applyTeam(true), undefined);
  });
});
