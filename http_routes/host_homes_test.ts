import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute } from "../tests/route_fixture.ts";
import { findHostHomes } from "./host_homes.ts";
import type { HttpRoute } from "./http_route.ts";

/** Finds the homes of a host whose routes have these homes and got so many calls. */
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
  it("returns what all bound routes of a host have in common", () => {
    assert.deepEqual(
      find([[["north", "south"], 0], [["south"], 0], [undefined, 0]]),
      {
        kind: "bound",
        regions: ["south"],
        usual: [],
      },
    );
  });

  it("takes a route that no region may serve for bound", () => {
    const homes = { kind: "bound", regions: [], usual: [] };
    assert.deepEqual(find([[[], 0], [undefined, 0]]), homes);
    assert.deepEqual(find([[[], 0], [["north"], 0]]), homes);
  });

  it("tells no homes, no home in common and no such host apart", () => {
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

  describe("where routes have few homes or none in common", () => {
    const findUsual = (rare: number, usual: number) => {
      const homes = find([
        [["north", "south"], usual],
        [["north"], rare],
        [undefined, 1_000],
      ]);
      return homes.kind === "bound" ? homes.usual : undefined;
    };

    it("adds the homes of nineteen in twenty of its calls with homes", () => {
      assert.deepEqual(findUsual(5, 95), ["south"]);
      assert.deepEqual(findUsual(6, 95), []);
      assert.deepEqual(findUsual(0, 20), ["south"]);
    });

    it("adds none before it has seen twenty", () => {
      assert.deepEqual(findUsual(0, 19), []);
    });
  });
});
