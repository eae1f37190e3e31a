// A sound server that was silent for a second lost its calls: they were left to a second destination that was silent or full itself.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";
import {
  CLEAN_UPS,
  createEvent,
  REFUSAL,
  type RequestHandler,
  requestStream,
  SILENCE_MS,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";

/** When a server refuses a call that waited in its queue, in milliseconds. */
const LATE_REFUSAL_MS = 400;

/** What a server does with a call that another server has. */
type SecondServer = "silent" | "refuses late" | "breaks off";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

function handleSecond(second: SecondServer): RequestHandler {
  return (_, socket) => {
    switch (second) {
      case "silent":
        return;
      case "refuses late":
        setTimeout(() => socket.write(REFUSAL), LATE_REFUSAL_MS);
        return;
      case "breaks off":
        setTimeout(() => socket.destroy(), LATE_REFUSAL_MS);
        return;
    }
  };
}

/** Returns handlers of two servers: whichever gets the call first runs it, the other one gets it second. */
function createServers(
  runFirst: RequestHandler,
  second: SecondServer,
): readonly RequestHandler[] {
  let received = 0;
  const handle: RequestHandler = (request, socket) => {
    received++;
    const run = received === 1 ? runFirst : handleSecond(second);
    run(request, socket);
  };
  return [handle, handle];
}

(["silent", "refuses late", "breaks off"] as const).forEach((second) => {
  describe(`a call of a sound server that is silent for a second, while another one ${second}`, () => {
    it("gets all of a stream that paused midway", async () => {
      const { gateway } = await startStreamingGateway(
        createServers((request, socket) => {
          assert.equal(findHeader(request, "last-event-id"), undefined);
          socket.write(STREAM_HEAD + toChunk(createEvent(1)));
          setTimeout(() => {
            socket.write(toChunk(createEvent(2)) + STREAM_END);
          }, SILENCE_MS);
        }, second),
        { resumable: true, maxAttempts: 2 },
      );
      const answer = await requestStream(gateway.port);
      assert.match(answer, /token 1\n\n.*token 2\n\n\r\n0\r\n\r\n$/s);
    });

    it("gets all of a stream whose first event is late", async () => {
      const { gateway } = await startStreamingGateway(
        createServers((_, socket) => {
          setTimeout(() => {
            socket.write(STREAM_HEAD + toChunk(createEvent(1)) + STREAM_END);
          }, SILENCE_MS);
        }, second),
        { resumable: true, maxAttempts: 2 },
      );
      const answer = await requestStream(gateway.port);
      assert.match(answer, /token 1\n\n\r\n0\r\n\r\n$/);
    });

    it("gets a plain answer that is late", async () => {
      const handlers = createServers((_, socket) => {
        setTimeout(() => socket.write(createAnswer("c1", "late")), SILENCE_MS);
      }, second);
      const servers = await Promise.all(handlers.map(startRawServer));
      const gateway = await startGateway({
        routes: [{ prefix: "/a/", maxAttempts: 2 }],
        servers: Object.fromEntries(
          servers.map(({ address }, index) => [`s${index}`, address]),
        ),
      });
      CLEAN_UPS.push(
        () => gateway.close(),
        ...servers.map((server) => () => server.close()),
      );
      const caller = await openRawCaller(gateway.port);
      CLEAN_UPS.push(() => caller.socket.destroy());
      caller.socket.write(
        createRequest("/a/x", { headers: ["Connection: close"] }),
      );
      assert.match(await caller.awaitEnd(), /^HTTP\/1\.1 200 .*late$/s);
    });
  });
});
