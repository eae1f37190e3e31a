import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { findHeader } from "./raw_http.ts";
import {
  CLEAN_UPS,
  createEvent,
  type RequestHandler,
  requestStream,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";

/** Failure of a server that has run the call. */
const FAILURE = STREAM_HEAD.replace("200 OK", "500 Failed") + STREAM_END;
/** Silence of the first server, in milliseconds. */
const SILENCE_MS = 1_800;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

describe("a resumable stream whose server is silent before its first event", () => {
  it("is answered by it, although a second server fails meanwhile", async () => {
    let calls = 0;
    const answer: RequestHandler = (_, socket) => {
      calls++;
      if (calls > 1) socket.write(FAILURE);
      else {
        setTimeout(() => {
          socket.write(STREAM_HEAD + toChunk(createEvent(1)) + STREAM_END);
        }, SILENCE_MS);
      }
    };
    const { gateway } = await startStreamingGateway([answer, answer], {
      resumable: true,
      maxAttempts: 2,
    });
    assert.match(await requestStream(gateway.port), / 200 OK[^]*token 1/);
    assert.equal(calls, 2);
  });
});

describe("a resumable stream whose server pauses", () => {
  it("is whole, although a second server begins an answer and breaks off", async () => {
    const answer: RequestHandler = (request, socket) => {
      if (findHeader(request, "last-event-id") !== undefined) {
        socket.write(STREAM_HEAD, () => setTimeout(() => socket.destroy(), 50));
        return;
      }
      socket.write(STREAM_HEAD + toChunk(createEvent(1)));
      setTimeout(() => {
        socket.write(toChunk(createEvent(2)) + STREAM_END);
      }, SILENCE_MS);
    };
    const { gateway } = await startStreamingGateway([answer, answer], {
      resumable: true,
      maxAttempts: 2,
    });
    assert.match(
      await requestStream(gateway.port),
      /token 2\n\n\r\n0\r\n\r\n$/,
    );
  });
});
