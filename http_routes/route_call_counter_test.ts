import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute } from "../tests/route_fixture.ts";
import { RouteCallCounter } from "./route_call_counter.ts";

describe("RouteCallCounter", () => {
  const bound = createRoute("/a/", ["north"]);

  it("counts the calls of the last minute", () => {
    const use = new RouteCallCounter();
    [0, 30_000, 59_000].forEach((atMs) => use.record(bound, atMs));
    assert.equal(use.read(bound, 59_000), 3);
    assert.equal(use.read(bound, 80_000), 2);
    assert.equal(use.read(bound, 200_000), 0);
  });

  it("keeps the count when the home regions of a route change, and drops it with the host and path", () => {
    const use = new RouteCallCounter();
    use.record(bound, 0);
    const moved = createRoute("/a/", ["south"]);
    use.keepOnly([moved]);
    assert.equal(use.read(moved, 1), 1);
    use.keepOnly([createRoute("/b/", ["north"])]);
    assert.equal(use.read(moved, 1), 0);
  });

  it("ignores routes without home regions", () => {
    const use = new RouteCallCounter();
    const free = createRoute("/f/");
    use.record(free, 0);
    assert.equal(use.read(free, 0), 0);
  });
});
