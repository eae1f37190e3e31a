import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toRegionId } from "../ids/mod.ts";
import { type HttpRoute, INITIAL_LIMITS } from "./http_route.ts";
import { RouteTable } from "./route_table.ts";

const HOST = "app.example";

function createTable(homes: readonly (readonly string[])[]): RouteTable {
  const routes = homes.map((regions, at): HttpRoute => ({
    name: `r${at}`,
    host: HOST,
    pathPrefix: `/${at}/`,
    routeClass: "idempotent",
    timeoutMs: 1_000,
    targetMs: 500,
    longestGapMs: undefined,
    priority: 0,
    services: [{ service: "app", weight: 1 }],
    maxAttempts: 1,
    isResumable: false,
    homeRegions: regions.map(toRegionId),
  }));
  return new RouteTable({
    version: 1,
    routes,
    services: [],
    limits: INITIAL_LIMITS,
  });
}

describe("RouteTable", () => {
  describe("readHomes()", () => {
    it("returns what all bound routes of a host have in common", () => {
      const table = createTable([["north", "south"], ["south"]]);
      assert.deepEqual(table.readHomes(`${HOST}:8144`), {
        regions: ["south"],
        isBound: true,
      });
    });

    it("says where some route is bound to no region", () => {
      assert.deepEqual(createTable([["north"], []]).readHomes(HOST), {
        regions: ["north"],
        isBound: false,
      });
    });

    it("returns none where none is in common, or no such host is known", () => {
      const none = { regions: [], isBound: false };
      assert.deepEqual(createTable([[], []]).readHomes(HOST), none);
      assert.deepEqual(
        createTable([["north"], ["south"]]).readHomes(HOST),
        none,
      );
      assert.deepEqual(createTable([["north"]]).readHomes("other"), none);
    });
  });
});
