// A resumable stream broke off: its engine paused over 1 s behind another prompt, the instance took it for dead, and the next engine refused the call.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { findHeader } from "./raw_http.ts";
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

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

describe("a stream that pauses and may be resumed", () => {
  it("is delivered in full when no other server accepts it", async () => {
    const answerWithPause: RequestHandler = (request, socket) => {
      if (findHeader(request, "last-event-id") !== undefined) {
        socket.write(REFUSAL);
        return;
      }
      socket.write(STREAM_HEAD + toChunk(createEvent(1)));
      setTimeout(() => {
        socket.write(toChunk(createEvent(2)) + STREAM_END);
      }, SILENCE_MS);
    };
    const { gateway } = await startStreamingGateway(
      [answerWithPause, answerWithPause],
      { resumable: true, maxAttempts: 2 },
    );
    const answer = await requestStream(gateway.port);
    assert.match(answer, /token 2\n\n\r\n0\r\n\r\n$/);
  });
});
