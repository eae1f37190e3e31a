// Guards against treating a route whose residency rule is missing as free to run in any region: both were an empty list of regions.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationState } from "../configuration/mod.ts";
import { findHostHomes, type RouteTable } from "../http_routes/mod.ts";
import type { ResourceChange } from "../resources/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { computeTokenHash, identifyTeam } from "../teams/mod.ts";
import { CatalogState } from "./catalog_state.ts";

/** Applies changes, and returns the resulting route table. */
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

/** Applies one route with an optional residency rule, and returns the home regions of its host. */
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

describe("home regions of a route", () => {
  it("are the regions of its residency rule", () => {
    assert.deepEqual(applyRoute("eu", "eu"), {
      kind: "bound",
      regions: ["north"],
      usual: [],
    });
  });

  it("are all regions if it names no residency rule", () => {
    assert.deepEqual(applyRoute(undefined), { kind: "anywhere" });
  });

  it("are none if the residency rule that it names is missing", () => {
    assert.deepEqual(applyRoute("eu"), {
      kind: "bound",
      regions: [],
      usual: [],
    });
  });
});

describe("teams of plain HTTP routes", () => {
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

  it("are those of the catalog, with keys, home regions and requests per second", () => {
    const found = identifyTeam(applyTeam(false)!, ["Bearer key-1"]);
    const { homeRegions, id, limit } = found._unsafeUnwrap().team;
    assert.equal(id, "roasters");
    assert.deepEqual(homeRegions, ["north"]);
    assert.equal(limit?.perSecond, 60);
    assert.equal(limit?.unit, "requests");
  });

  it("are undefined if all routes are public", () => {
    assert.equal(applyTeam(true), undefined);
  });
});
