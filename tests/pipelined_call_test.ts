// The listener's timers and parser refused bytes behind a call with 408, "not run", in place of the answer of that call, which ran.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";

/** Time within which the header of a call must arrive, in milliseconds. */
const HEADER_TIMEOUT_MS = 200;
/**
 * Time until the server answers, in milliseconds: longer than the header timeout and the
 * interval between checks for late headers.
 */
const ANSWER_DELAY_MS = 1_600;

/** Sends a call, then more bytes on its connection; returns all that the caller receives. */
async function sendCallThenBytes(nextBytes: string): Promise<string> {
  let onArrival = () => {};
  const arrival = new Promise<void>((resolve) => onArrival = resolve);
  const server = await startRawServer((request, socket) => {
    onArrival();
    const callId = findHeader(request, "X-Havenspur-Attempt-Id")!;
    setTimeout(
      () => socket.write(createAnswer(callId, "whole")),
      ANSWER_DELAY_MS,
    );
  });
  const fixture = await startGateway({
    routes: [{ prefix: "/once/", kind: "unsafe" }],
    servers: { s1: server.address },
    limits: { headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 300 },
  });
  const caller = await openRawCaller(fixture.port, fixture.host);
  caller.socket.write(
    createRequest("/once/x", { method: "POST", body: "payload" }),
  );
  await arrival;
  caller.socket.write(nextBytes);
  const answer = await caller.awaitEnd();
  fixture.close();
  server.close();
  return answer;
}

describe("a call that a server handles, with more bytes behind it on its connection", () => {
  it("gets its own answer, and no 4xx, when the header of the next call is late", async () => {
    const answer = await sendCallThenBytes("GET /once/y HT");
    assert.match(answer, /^HTTP\/1\.1 200 /);
    assert.doesNotMatch(answer, /HTTP\/1\.1 4/);
  });

  it("gets its own answer, and no 4xx, when these bytes are not HTTP", async () => {
    const answer = await sendCallThenBytes("\u0001\u0002 nothing\r\n\r\n");
    assert.match(answer, /^HTTP\/1\.1 200 /);
    assert.doesNotMatch(answer, /HTTP\/1\.1 4/);
  });
});
