import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { ServerLinks } from "./server_links.ts";

const SERVER = toBackendId("s1");
const REFUSED = { nowMs: 1_000, tookMs: 2 };
const TIMED_OUT = { nowMs: 1_000, tookMs: 1_000 };

describe("ServerLinks", () => {
  it("considers a server unreachable from its first failed connection until a probe succeeds", () => {
    const links = new ServerLinks();
    assert.equal(links.recordFailure(SERVER, REFUSED), true);
    assert.equal(links.recordFailure(SERVER, REFUSED), false);
    assert.equal(links.isUnreachable(SERVER), true);
    assert.equal(links.unreachableCount, 1);
    assert.equal(links.recordReached(SERVER), true);
    assert.equal(links.isUnreachable(SERVER), false);
    assert.equal(links.recordReached(SERVER), false);
  });

  it("tells connections that time out from those that are refused", () => {
    const links = new ServerLinks();
    links.recordFailure(SERVER, TIMED_OUT);
    assert.equal(links.isHanging(SERVER), true);
    links.recordFailure(SERVER, REFUSED);
    assert.equal(links.isHanging(SERVER), false);
  });

  it("has an unreachable server probed at once, and then periodically", () => {
    const links = new ServerLinks();
    links.recordFailure(SERVER, REFUSED);
    assert.deepEqual(links.takeDue(1_000), [SERVER]);
    links.recordFailure(SERVER, REFUSED);
    assert.deepEqual(links.takeDue(1_499), []);
    assert.deepEqual(links.takeDue(1_500), [SERVER]);
  });

  it("probes a suspect that is reached no more often, and does not exclude it", () => {
    const links = new ServerLinks();
    links.suspect(SERVER, 1_000);
    assert.equal(links.isUnreachable(SERVER), false);
    assert.deepEqual(links.takeDue(1_000), [SERVER]);
    links.recordReached(SERVER);
    links.suspect(SERVER, 1_250);
    assert.deepEqual(links.takeDue(1_250), []);
    assert.deepEqual(links.takeDue(1_500), [SERVER]);
    links.recordReached(SERVER);
    assert.deepEqual(links.takeDue(2_000), []);
    assert.deepEqual(links.takeDue(9_000), []);
  });

  it("forgets servers that are no longer registered", () => {
    const links = new ServerLinks();
    links.recordFailure(SERVER, REFUSED);
    links.keepOnly(new Set());
    assert.equal(links.unreachableCount, 0);
  });
});
