// Guards against a server's failure whose body is longer than the gateway holds back, and that is passed on without its end.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";
import { awaitAnswer } from "./received_answer.ts";
import { STREAM_END, toChunk } from "./stream_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Longer than what the gateway holds back of a failure. */
const LONG_BODY = "x".repeat(100_000);

/**
 * Has the first server of a call answer with a failure, and the next one break off, and returns
 * what the caller gets.
 */
async function requestFailure(bytes: string) {
  let calls = 0;
  const servers = await Promise.all(
    [1, 2].map(() =>
      startRawServer((_, socket) => {
        if (calls++ === 0) socket.write(bytes);
        else socket.destroy();
      })
    ),
  );
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: "safe", maxAttempts: 2 }],
    servers: { s1: servers[0]!.address, s2: servers[1]!.address },
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
  return await awaitAnswer(caller);
}

describe("a failure with a long body", () => {
  const withLength = createAnswer("c1", LONG_BODY)
    .replace("200 OK", "500 Failed");
  const chunked = withLength
    .replace(/Content-Length: \d+/, "Transfer-Encoding: chunked")
    .replace(LONG_BODY, toChunk(LONG_BODY) + STREAM_END);

  [["a length", withLength], ["chunks", chunked]].forEach(([name, bytes]) => {
    it(`is never cut and framed as complete, with ${name}`, async () => {
      const { body, looksComplete, status } = await requestFailure(bytes!);
      assert.ok(looksComplete);
      const isOwn = body.includes("x".repeat(100));
      assert.ok(status === "502" && !isOwn || body === LONG_BODY);
    });
  });
});
