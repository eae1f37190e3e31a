// Guards against a call that runs twice because it arrived twice while it was served.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  createRequest,
  type RouteFixture,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";

/** Time that a server works on a call, in milliseconds. */
const WORK_MS = 50;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts a gateway with one server, and returns what sends calls to it and how many have run. */
async function startOnce(kind: RouteFixture["kind"]) {
  const server = await startRawServer((request, socket) => {
    const callId = findHeader(request, "x-havenspur-attempt-id") ?? "";
    setTimeout(() => socket.write(createAnswer(callId, "done")), WORK_MS);
  });
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: kind! }],
    servers: { s1: server.address },
  });
  CLEAN_UPS.push(() => gateway.close(), () => server.close());
  const send = async (callId: string) => {
    const caller = await openRawCaller(gateway.port);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(createRequest("/a/x", {
      method: "POST",
      callId,
      body: "payload",
      headers: ["Connection: close"],
    }));
    return (await caller.awaitEnd()).slice(0, "HTTP/1.1 200".length);
  };
  return { send, countRuns: () => server.requests.length };
}

describe("a call that arrives a second time under its id", () => {
  it("does not run while the first one is served, if it may run once", async () => {
    const { countRuns, send } = await startOnce("unsafe");
    const ends = await Promise.all([send("c1"), send("c1"), send("c2")]);
    assert.deepEqual(ends.sort(), [
      "HTTP/1.1 200",
      "HTTP/1.1 200",
      "HTTP/1.1 409",
    ]);
    assert.equal(countRuns(), 2);
  });

  it("runs once the first one has ended", async () => {
    const { countRuns, send } = await startOnce("unsafe");
    assert.equal(await send("c1"), "HTTP/1.1 200");
    assert.equal(await send("c1"), "HTTP/1.1 200");
    assert.equal(countRuns(), 2);
  });

  it("runs if it is idempotent, or if neither has an id", async () => {
    const safe = await startOnce("safe");
    await Promise.all([safe.send("c1"), safe.send("c1")]);
    assert.equal(safe.countRuns(), 2);
    const nameless = await startOnce("unsafe");
    await Promise.all([nameless.send(""), nameless.send("")]);
    assert.equal(nameless.countRuns(), 2);
  });
});
