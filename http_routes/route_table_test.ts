import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createRoute,
  createRouteTable,
  ROUTE_HOST,
} from "../tests/route_fixture.ts";

describe("RouteTable", () => {
  const routes = [createRoute("/a/"), createRoute("/a/b/")];
  const table = createRouteTable(routes);

  describe("listRoutes()", () => {
    it("returns the routes of a host, given with or without its port", () => {
      assert.deepEqual(table.listRoutes(ROUTE_HOST), routes);
      assert.deepEqual(table.listRoutes(`${ROUTE_HOST}:8144`), routes);
    });

    it("returns none for an unknown host", () => {
      assert.deepEqual(table.listRoutes("other"), []);
    });
  });
});
