// A route whose residency rule is missing, as when an entry that names it arrives
// without the rule's own, had no homes left and counted as one whose calls may go to
// any region: no region allowed and every region allowed were both an empty list.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigurationState } from "../configuration/mod.ts";
import { findHostHomes, type RouteTable } from "../http_routes/mod.ts";
import type { ResourceChange } from "../resources/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { CatalogState } from "./catalog_state.ts";

/** Puts one route in force, with the rule that it names or without. */
function applyRoute(residency: string | undefined, ...rules: string[]) {
  const configuration = new ConfigurationState();
  let table: RouteTable | undefined;
  new CatalogState(configuration, {
    registry: new ServerRegistry({ readWarmUpMs: () => 0 }),
    applyTable: (applied) => {
      table = applied;
    },
    onServers: () => {},
    onRefusedCall: () => {},
    isRelay: () => true,
  }, () => 0);
  const spec = {
    host: "app.example",
    pathPrefix: "/",
    routeClass: "idempotent" as const,
    timeoutMs: 1_000,
    targetMs: 500,
    priority: 0,
    services: [{ service: "app", weight: 1 }],
    maxAttempts: 1,
    resumable: false,
    residency,
  };
  const changes: ResourceChange[] = [
    { kind: "http-route", name: "r", spec },
    ...rules.map((name): ResourceChange => ({
      kind: "residency",
      name,
      spec: { regions: ["north"] },
    })),
  ];
  configuration.apply({
    sequence: 1,
    changeId: "c1",
    acceptedMs: 0,
    operator: "o",
    instance: "i",
    changes,
  });
  return findHostHomes(table!.listRoutes("app.example"), () => 0);
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
