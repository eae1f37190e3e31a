// What a caller saw: its stream ended in the middle. Its engine had paused for over a
// second, a prompt of others before it; the instance took it for gone, left it, and the
// engine that was to go on shed the call. The evidence: the first engine's run ended as
// cut off 2.1 s after it began, 40 ms before the other answered 503 without running it.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { findHeader } from "./raw_http.ts";
import {
  askStream,
  CLEAN_UPS,
  createEvent,
  startStreams,
  STREAM_END,
  STREAM_HEAD,
  type StreamAnswer,
  toChunk,
} from "./stream_fixture.ts";

/** Pause of the stream, in milliseconds: longer than the silence that tells a server gone. */
const PAUSE_MS = 1_800;

const SHED = [
  "HTTP/1.1 503 Service Unavailable",
  "X-Havenspur-Attempt-Id: c1",
  "X-Havenspur-Not-Executed: true",
  "Content-Length: 0",
  "",
  "",
].join("\r\n");

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

describe("a stream that pauses and may be resumed", () => {
  it("ends whole where no other server takes it on", async () => {
    const answerWithPause: StreamAnswer = (request, socket) => {
      if (findHeader(request, "last-event-id") !== undefined) {
        socket.write(SHED);
        return;
      }
      socket.write(STREAM_HEAD + toChunk(createEvent(1)));
      setTimeout(() => {
        socket.write(toChunk(createEvent(2)) + STREAM_END);
      }, PAUSE_MS);
    };
    const { gateway } = await startStreams(
      [answerWithPause, answerWithPause],
      { resumable: true, maxAttempts: 2 },
    );
    const answer = await askStream(gateway.port);
    assert.match(answer, /token 2\n\n\r\n0\r\n\r\n$/);
  });
});
