// Guards against a call that runs twice, or that is refused though it ran, because a late copy of an earlier refusal of it was taken for the answer to a later send.
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  createRefusal,
  postCall,
  type RouteFixture,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, startRawServer } from "./raw_http.ts";
import { startTwoRegions } from "./two_regions_fixture.ts";

/** Delay of a server's own answer behind a copy, in milliseconds. */
const OWN_ANSWER_DELAY_MS = 20;
/** Refusals, with the attempts that a call needs to be sent once more. */
const REFUSALS = {
  "421 Misdirected": 1,
  "503 Full": 2,
  "429 Busy": 2,
} as const;
/** Calls that may run once. */
const ONCE_ROUTES: Readonly<Record<string, Partial<RouteFixture>>> = {
  "an unsafe call": { kind: "unsafe" },
  "a stream that may not be resumed": { kind: "streaming", resumable: false },
};

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/**
 * Refuses the first request, and runs each one after it. Where the second one arrives on the same
 * connection as the first one, a copy of the refusal goes before its answer.
 */
function createRefuser(status: string) {
  const runs: string[] = [];
  let refusedOn: Socket | undefined;
  const answer = (request: string, socket: Socket) => {
    const callId = findHeader(request, "x-havenspur-attempt-id")!;
    if (refusedOn === undefined) {
      refusedOn = socket;
      socket.write(createRefusal(status, callId));
      return;
    }
    runs.push(callId);
    if (socket === refusedOn) socket.write(createRefusal(status, callId));
    setTimeout(
      () => socket.write(createAnswer(callId, "done")),
      OWN_ANSWER_DELAY_MS,
    );
  };
  return { answer, runs };
}

/** Starts a gateway that knows several servers at one address. */
async function startOneAddress(
  answer: (request: string, socket: Socket) => void,
  route: Partial<RouteFixture>,
) {
  const { address, close } = await startRawServer(answer);
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", ...route }],
    servers: { s1: address, s2: address, s3: address },
  });
  CLEAN_UPS.push(() => gateway.close(), close);
  return gateway;
}

describe("a late copy of a refusal that names its call", () => {
  Object.entries(ONCE_ROUTES).forEach(([name, route]) => {
    Object.entries(REFUSALS).forEach(([status, maxAttempts]) => {
      describe(`with status ${status}, of ${name}`, () => {
        it("does not count for the next send to the same address", async () => {
          const { answer, runs } = createRefuser(status);
          const parts = { ...route, maxAttempts: maxAttempts + 1 };
          const gateway = await startOneAddress(answer, parts);
          assert.match(await postCall(gateway.port), /^HTTP\/1\.1 200/);
          assert.deepEqual(runs, ["c1"]);
        });

        it("does not count for the last send that the call has", async () => {
          const { answer, runs } = createRefuser(status);
          const gateway = await startOneAddress(answer, {
            ...route,
            maxAttempts,
          });
          assert.match(await postCall(gateway.port), /^HTTP\/1\.1 200/);
          assert.deepEqual(runs, ["c1"]);
        });
      });
    });
  });

  it("does not count for a call that its caller sends once more under its id", async () => {
    const { answer, runs } = createRefuser("503 Full");
    const gateway = await startOneAddress(answer, {
      kind: "unsafe",
      maxAttempts: 1,
    });
    assert.match(await postCall(gateway.port), /^HTTP\/1\.1 503/);
    assert.match(await postCall(gateway.port), /^HTTP\/1\.1 200/);
    assert.deepEqual(runs, ["c1"]);
  });

  it("does not count for the next send of an instance that got the call from another one", async () => {
    const { answer, runs } = createRefuser("421 Misdirected");
    const { near } = await startTwoRegions(answer, {
      maxAttempts: 1,
      serverCount: 3,
    });
    assert.match(await postCall(near.port), /^HTTP\/1\.1 200/);
    assert.deepEqual(runs, ["c1"]);
  });
});
