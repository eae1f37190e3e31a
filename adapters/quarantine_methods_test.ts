// Guards against a part that stays refused although its cause is mended: nobody could list or release it.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { toBackendId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { CallQuarantine } from "../quarantine/mod.ts";
import { createContent } from "../tests/content_fixture.ts";
import { createControlRoute } from "./control_route.ts";
import { createQuarantineMethods } from "./quarantine_methods.ts";

const BAD_CALL = createContent("bad", { model: "m", parts: ["first", "bad"] });

/** Returns a quarantine that holds a part, and a function that calls its methods as operators do. */
function createOperator() {
  const clock = new VirtualClock();
  const nowMs = clock.nowMs();
  const quarantine = new CallQuarantine();
  const logger = createSilentLogger();
  quarantine.recordAnswer(
    createContent("", { model: "m", parts: ["first"] }),
    nowMs,
  );
  ["s1", "s2", "s3"].forEach((server) =>
    quarantine.recordCrash(
      createContent(server, { model: "m", parts: ["first", "bad"] }),
      toBackendId(server),
      nowMs,
    )
  );
  const route = createControlRoute(
    createQuarantineMethods({ clock, logger, quarantine }),
    logger,
  );
  const call = async (method: string, params: object = {}) => {
    const { body } = await route.handle({
      query: new URLSearchParams(),
      caller: "127.0.0.1",
      body: JSON.stringify({ jsonrpc: "2.0", id: 1, method, params }),
    });
    return JSON.parse(body).result;
  };
  return { call, nowMs, quarantine };
}

describe("createQuarantineMethods()", () => {
  it("lists quarantined parts with the servers that crashed", async () => {
    const { call } = createOperator();
    const [listed, ...others] = await call("quarantine.list");
    assert.equal(listed.call, "part:bad@m");
    assert.deepEqual(listed.servers, ["s1", "s2", "s3"]);
    assert.deepEqual(others, []);
  });

  it("releases a part here and at other instances", async () => {
    const { call, nowMs, quarantine } = createOperator();
    const other = new CallQuarantine();
    other.mergeReports(quarantine.takeUnreported(), nowMs);
    assert.ok(other.readRemainingQuarantineMs(BAD_CALL, nowMs) > 0);
    const { released } = await call("quarantine.release", {
      call: "part:bad@m",
    });
    other.mergeReports(quarantine.takeUnreported(), nowMs);
    assert.ok(released);
    assert.equal(quarantine.readRemainingQuarantineMs(BAD_CALL, nowMs), 0);
    assert.equal(other.readRemainingQuarantineMs(BAD_CALL, nowMs), 0);
  });
});
