import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createAnswer, startGateway } from "./http_gateway_fixture.ts";
import { startRawServer } from "./raw_http.ts";
import {
  CLEAN_UPS,
  createEvent,
  keepSilent,
  openStream,
  pauseMidway,
  type RequestHandler,
  requestStream,
  SILENCE_MS,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  takeTurns,
  toChunk,
} from "./stream_fixture.ts";

/** Time that an engine needs for its first event, in milliseconds: longer than two engines may have a call. */
const LATE_MS = 400;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts engines: the first one that gets the call uses the first handler, and so on. */
async function startEngines(
  handlers: readonly RequestHandler[],
  maxAttempts: number,
) {
  const handle = takeTurns(...handlers);
  return await startStreamingGateway([handle, handle], {
    resumable: true,
    maxAttempts,
    isEngine: true,
  });
}

describe("a handover to an engine that has never sent anything", () => {
  // The send of the handover itself was taken for a sign of life of its engine.
  it("leaves a stream that paused midway with its first engine", async () => {
    const { gateway } = await startEngines([pauseMidway, keepSilent], 2);
    assert.match(
      await requestStream(gateway.port),
      /token 1\n\n.*token 2\n\n\r\n0\r\n\r\n$/s,
    );
  });
});

describe("a handover to a plain server that is silent, too", () => {
  // The call waited for both until its deadline.
  it("ends while the call has attempts left, so that a third one answers", async () => {
    const answer: RequestHandler = (_, socket) =>
      socket.write(createAnswer("c1", "third"));
    const handle = takeTurns(keepSilent, keepSilent, answer);
    const servers = await Promise.all(
      Array.from({ length: 3 }, () => startRawServer(handle)),
    );
    const gateway = await startGateway({
      routes: [{ prefix: "/a/", maxAttempts: 3, targetMs: 1_000 }],
      servers: Object.fromEntries(
        servers.map(({ address }, index) => [`s${index}`, address]),
      ),
    });
    CLEAN_UPS.push(
      () => gateway.close(),
      ...servers.map((server) => () => server.close()),
    );
    const answered = await requestStream(gateway.port);
    assert.match(answered, /^HTTP\/1\.1 200 .*third$/s);
  });
});

// An engine that had not answered within the overlap was not used again, and the call was lost with its first one.
describe("an engine from which a handover was withdrawn", () => {
  const answerLate: RequestHandler = (_, socket) => {
    setTimeout(
      () => socket.write(STREAM_HEAD + toChunk(createEvent(1)) + STREAM_END),
      LATE_MS,
    );
  };
  const breakOff: RequestHandler = (_, socket) => {
    setTimeout(() => socket.destroy(), SILENCE_MS);
  };

  [2, 4].forEach((maxAttempts) =>
    it(`gets the call again once the first one has broken off (${maxAttempts} attempts)`, async () => {
      const { gateway, servers } = await startEngines(
        [breakOff, answerLate],
        maxAttempts,
      );
      assert.match(await requestStream(gateway.port), /^HTTP\/1\.1 200 /);
      assert.equal(servers.flatMap(({ requests }) => requests).length, 3);
    })
  );

  it("gets the call again once the first one counts as lost", async () => {
    const { gateway, servers } = await startEngines(
      [keepSilent, answerLate],
      2,
    );
    assert.match(await requestStream(gateway.port), /^HTTP\/1\.1 200 /);
    assert.equal(servers.flatMap(({ requests }) => requests).length, 3);
  });
});

describe("a handover whose caller leaves", () => {
  it("ends both sends", async () => {
    const { gateway, servers } = await startEngines([keepSilent], 2);
    const caller = await openStream(gateway.port);
    await sleep(1_100);
    assert.equal(servers.flatMap(({ requests }) => requests).length, 2);
    caller.socket.destroy();
    await sleep(100);
    const open = servers.flatMap(({ sockets }) => sockets)
      .filter(({ destroyed }) => !destroyed);
    assert.equal(open.length, 0);
  });
});
