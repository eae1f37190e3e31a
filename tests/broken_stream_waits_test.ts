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

/** When the server breaks off, in milliseconds: later than a call waits before its answer begins. */
const BREAK_MS = 700;
/** When another server is there, in milliseconds after that. */
const REPLACE_MS = 300;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

describe("a resumable stream whose server breaks off", () => {
  it("waits for another server that is not there yet, and is whole", async () => {
    const answer: RequestHandler = (request, socket) => {
      if (findHeader(request, "last-event-id") !== undefined) {
        socket.write(STREAM_HEAD + toChunk(createEvent(2)) + STREAM_END);
        return;
      }
      socket.write(STREAM_HEAD + toChunk(createEvent(1)));
      setTimeout(() => {
        gateway.gateway.registry.replaceAll([], 0, 0);
        socket.destroy();
        setTimeout(() => gateway.configure(2, {}), REPLACE_MS);
      }, BREAK_MS);
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
