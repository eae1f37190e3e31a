import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { setTimeout as sleep } from "node:timers/promises";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";
import {
  CLEAN_UPS,
  createEvent,
  keepSilent,
  openStream,
  type RequestHandler,
  requestStream,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  takeTurns,
  toChunk,
} from "./stream_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Calls a plain service, and returns the answer and the number of sends. */
async function callPlain(
  handle: RequestHandler,
  serverCount: number,
  route: { readonly kind?: "safe" | "unsafe"; readonly maxAttempts: number },
  method = "GET",
) {
  const servers = await Promise.all(
    Array.from({ length: serverCount }, () => startRawServer(handle)),
  );
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", targetMs: 1_000, ...route }],
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
    createRequest("/a/x", { method, headers: ["Connection: close"] }),
  );
  const answer = await caller.awaitEnd();
  return { answer, sends: servers.flatMap(({ requests }) => requests).length };
}

const answerLater =
  (ms: number, text: string): RequestHandler => (_, socket) => {
    setTimeout(() => socket.write(text), ms);
  };
const FAILURE = createAnswer("c1", "oops").replace("200 OK", "500 Failed");
const HEAD_ONLY = createAnswer("c1", "12345678").slice(0, -8);

describe("a handover", () => {
  it("goes on to a third server if the second one breaks off after an event", async () => {
    const handle = takeTurns(
      (_, socket) => socket.write(STREAM_HEAD + toChunk(createEvent(1))),
      (_, socket) => {
        socket.write(STREAM_HEAD + toChunk(createEvent(2)));
        setTimeout(() => socket.destroy(), 100);
      },
      (request, socket) => {
        assert.equal(findHeader(request, "last-event-id"), "2");
        socket.write(STREAM_HEAD + toChunk(createEvent(3)) + STREAM_END);
      },
    );
    const { gateway } = await startStreamingGateway([handle, handle, handle], {
      resumable: true,
      maxAttempts: 3,
    });
    assert.match(
      await requestStream(gateway.port),
      /token 1\n.*token 2\n.*token 3\n\n\r\n0\r\n\r\n$/s,
    );
  });

  it("is not begun for an unsafe call", async () => {
    const { answer, sends } = await callPlain(
      takeTurns(answerLater(1_800, createAnswer("c1", "late"))),
      2,
      { kind: "unsafe", maxAttempts: 3 },
    );
    assert.equal(sends, 1);
    assert.match(answer, /late$/);
  });

  it("is not begun for a stream that may not be resumed, nor for one without ids", async () => {
    for (const resumable of [false, true]) {
      const event = "data: x\n\n";
      const handle = takeTurns((_, socket) => {
        socket.write(STREAM_HEAD + toChunk(event));
        setTimeout(() => socket.write(toChunk(event) + STREAM_END), 1_800);
      }, keepSilent);
      const { gateway, servers } = await startStreamingGateway(
        [handle, handle],
        { resumable, maxAttempts: 3 },
      );
      assert.match(await requestStream(gateway.port), /0\r\n\r\n$/);
      assert.equal(servers.flatMap(({ requests }) => requests).length, 1);
    }
  });

  it("leaves no work behind if the caller leaves after it", async () => {
    const handle = takeTurns(
      (_, socket) => socket.write(STREAM_HEAD + toChunk(createEvent(1))),
      (_, socket) => socket.write(STREAM_HEAD + toChunk(createEvent(2))),
    );
    const { gateway, servers } = await startStreamingGateway([handle, handle], {
      resumable: true,
      maxAttempts: 2,
    });
    const caller = await openStream(gateway.port);
    await caller.awaitText("token 2");
    caller.socket.destroy();
    await sleep(300);
    const open = servers.flatMap(({ sockets }) => sockets)
      .filter(({ destroyed }) => !destroyed);
    assert.equal(open.length, 0);
  });

  it("is decided by an answer without a body", async () => {
    const { answer } = await callPlain(
      takeTurns(
        keepSilent,
        answerLater(100, createAnswer("c1", "12").slice(0, -2)),
      ),
      2,
      { maxAttempts: 2 },
      "HEAD",
    );
    assert.match(answer, /^HTTP\/1\.1 200 /);
    const none = "HTTP/1.1 204 None\r\nX-Havenspur-Attempt-Id: c1\r\n" +
      "X-Havenspur-Response-Signature: sig\r\n\r\n";
    const { answer: second } = await callPlain(
      takeTurns(keepSilent, answerLater(100, none)),
      2,
      { maxAttempts: 2 },
    );
    assert.match(second, /^HTTP\/1\.1 204 /);
  });

  it("goes on beside a failure of the first server", async () => {
    const { answer } = await callPlain(
      takeTurns(
        answerLater(1_000, FAILURE),
        answerLater(900, createAnswer("c1", "second")),
      ),
      2,
      { maxAttempts: 2 },
    );
    assert.match(answer, /^HTTP\/1\.1 200 .*second$/s);
  });

  it("is not decided by the head of the second answer", async () => {
    const { answer } = await callPlain(
      takeTurns(
        answerLater(1_500, createAnswer("c1", "first")),
        answerLater(50, HEAD_ONLY),
      ),
      2,
      { maxAttempts: 2 },
    );
    assert.match(answer, /^HTTP\/1\.1 200 .*first$/s);
  });

  it("is not ended by the head of the first answer", async () => {
    const { answer } = await callPlain(
      takeTurns(
        answerLater(800, HEAD_ONLY),
        answerLater(1_000, createAnswer("c1", "second")),
      ),
      2,
      { maxAttempts: 2 },
    );
    assert.match(answer, /^HTTP\/1\.1 200 .*second$/s);
  });
});
