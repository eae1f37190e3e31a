// Guards against a call that runs twice because one send of an instance arrived twice.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { type Hop, writeHop } from "../forwarding/mod.ts";
import { toInstanceId, toSendId } from "../ids/mod.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  postCall,
  startGateway,
} from "./http_gateway_fixture.ts";
import { startRawServer } from "./raw_http.ts";

/** Time that a server works on a call, in milliseconds. */
const WORK_MS = 50;
const HOP: Hop = {
  from: toInstanceId("other"),
  sendId: toSendId("1"),
  service: "app",
  remainingMs: 1_000,
  resumeAfter: undefined,
  tried: [],
  configurationVersion: 0,
  isTrial: false,
  isRepeat: false,
  isHandover: false,
  isAgain: false,
  version: undefined,
  caller: undefined,
};

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts an instance with one server, and returns what sends calls to it and how many have run. */
async function startInstance() {
  const server = await startRawServer((_, socket) => {
    setTimeout(() => socket.write(createAnswer("c1", "done")), WORK_MS);
  });
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: "unsafe" }],
    servers: { s1: server.address },
  });
  CLEAN_UPS.push(() => gateway.close(), () => server.close());
  const send = (hop: Partial<Hop>) =>
    postCall(gateway.peerPort, {
      headers: [writeHop({ ...HOP, ...hop }).join(": ")],
    });
  return { send, countRuns: () => server.requests.length };
}

describe("a send of an instance that arrives twice", () => {
  it("runs once, and the second arrival says that it may have run", async () => {
    const { countRuns, send } = await startInstance();
    const [first, second] = await Promise.all([send({}), send({})]);
    assert.match(first, /^HTTP\/1\.1 200 /);
    assert.match(second, /^HTTP\/1\.1 409 [^]*kind=unknown/);
    assert.equal(countRuns(), 1);
  });

  it("is not taken for another send of the instance, or that of another one", async () => {
    const { countRuns, send } = await startInstance();
    await Promise.all([
      send({}),
      send({ sendId: toSendId("2") }),
      send({ from: toInstanceId("third") }),
      send({ sendId: undefined }),
      send({ sendId: undefined }),
    ]);
    assert.equal(countRuns(), 5);
  });
});
