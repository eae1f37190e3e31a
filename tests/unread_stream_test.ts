import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { findHeader } from "./raw_http.ts";
import {
  CLEAN_UPS,
  openStream,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";

/** Time for which the caller does not read, in milliseconds: longer than the silence of a dead server. */
const UNREAD_MS = 2_000;
/** Number of events, which together exceed the buffers of all sockets on the way. */
const EVENTS = 600;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

describe("a resumable stream that its caller does not read for a while", () => {
  it("is whole, and its server, which this instance has paused, does not count as silent", async () => {
    const padding = "x".repeat(32_768);
    const { gateway, servers } = await startStreamingGateway(
      Array.from({ length: 2 }, () => (request: string, socket) => {
        if (findHeader(request, "last-event-id") !== undefined) return;
        socket.write(STREAM_HEAD);
        for (let id = 1; id <= EVENTS; id++) {
          socket.write(toChunk(`id: ${id}\ndata: ${padding}\n\n`));
        }
        socket.write(STREAM_END);
      }),
      { resumable: true, maxAttempts: 2 },
    );
    const caller = await openStream(gateway.port);
    caller.socket.pause();
    await sleep(UNREAD_MS);
    caller.socket.resume();
    const answer = await caller.awaitEnd();
    assert.equal(servers.flatMap(({ requests }) => requests).length, 1);
    assert.ok(answer.endsWith(STREAM_END));
  });
});
