import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute } from "../tests/route_fixture.ts";
import { findHostHomes } from "./host_homes.ts";
import type { HttpRoute } from "./http_route.ts";

/** Returns the homes of a host whose routes have the given home regions and numbers of calls. */
function find(
  routes:
    readonly (readonly [homes: readonly string[] | undefined, calls: number])[],
) {
  const counts = new Map(
    routes.map(([homes, calls], at): [HttpRoute, number] => [
      createRoute(`/${at}/`, homes),
      calls,
    ]),
  );
  return findHostHomes([...counts.keys()], (route) => counts.get(route)!);
}

describe("findHostHomes()", () => {
  it("returns the regions that all routes with home regions have in common", () => {
    assert.deepEqual(
      find([[["north", "south"], 0], [["south"], 0], [undefined, 0]]),
      {
        kind: "bound",
        regions: ["south"],
        usual: [],
      },
    );
  });

  it("returns no region if a route may be served in none", () => {
    const homes = { kind: "bound", regions: [], usual: [] };
    assert.deepEqual(find([[[], 0], [undefined, 0]]), homes);
    assert.deepEqual(find([[[], 0], [["north"], 0]]), homes);
  });

  it("distinguishes no home regions, none in common, and an unknown host", () => {
    assert.deepEqual(find([[undefined, 5], [undefined, 0]]), {
      kind: "anywhere",
    });
    assert.deepEqual(find([[["north"], 0], [["south"], 0]]), {
      kind: "bound",
      regions: [],
      usual: [],
    });
    assert.deepEqual(find([]), { kind: "unknown" });
  });

  describe("when routes have few home regions in common, or none", () => {
    const findUsual = (excludedCalls: number, includedCalls: number) => {
      const homes = find([
        [["north", "south"], includedCalls],
        [["north"], excludedCalls],
        [undefined, 1_000],
      ]);
      return homes.kind === "bound" ? homes.usual : undefined;
    };

    it("adds the regions that are a home of nineteen in twenty calls with home regions", () => {
      assert.deepEqual(findUsual(5, 95), ["south"]);
      assert.deepEqual(findUsual(6, 95), []);
      assert.deepEqual(findUsual(0, 20), ["south"]);
    });

    it("adds none below twenty such calls", () => {
      assert.deepEqual(findUsual(0, 19), []);
    });
  });
});
