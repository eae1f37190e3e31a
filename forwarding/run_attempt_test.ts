import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { systemClock } from "../adapters/system_clock.ts";
import { createHeadSink } from "../tests/opaque_call_fixture.ts";
import type { AnswerFraming } from "./answer_framing.ts";
import { GATEWAY_HEADER_CODEC } from "./gateway_header_codec.ts";
import { runAttempt } from "./run_attempt.ts";
import type { ServerClient } from "./server_client.ts";

const STREAM_HEADERS = ["Content-Type", "text/event-stream"];

/** Returns how an attempt ended whose server sends these bytes and ends the message. */
async function runWith(framing: AnswerFraming, body: string) {
  const client: ServerClient = {
    send: (_, events) => {
      queueMicrotask(() => {
        events.onHead({
          status: 200,
          statusText: "OK",
          headers: STREAM_HEADERS,
          framing,
        });
        events.onData(Buffer.from(body));
        events.onEnd([]);
      });
      return { resume: () => {}, abort: () => {} };
    },
  };
  return await runAttempt({
    client,
    headerCodec: GATEWAY_HEADER_CODEC,
    sink: createHeadSink(() => {}),
    request: {
      address: "127.0.0.1:1",
      method: "GET",
      target: "/a/x",
      headers: [],
      body: Buffer.alloc(0),
      maxConnections: 1,
    },
    callId: "c1",
    isHop: false,
    holdsFailures: false,
    streams: { isStream: true, framesEvents: true },
    progress: { hasBegun: false, lastEventId: undefined },
    toPassedHead: (head) => head,
    onFirstByte: () => {},
    signal: new AbortController().signal,
    startHandover: () => undefined,
    clock: systemClock,
  });
}

describe("runAttempt()", () => {
  describe("when a stream ends within an event", () => {
    (["connection", "chunked", "length"] as const).forEach((framing) => {
      it(`ends as for a server that broke off, framing ${framing}`, async () => {
        const event = "id: 1\ndata: x\n\n";
        const early = await runWith(framing, event.slice(0, -1));
        assert.equal(early.kind, "no-answer");
        const late = await runWith(framing, event + event.slice(0, 7));
        assert.equal(late.kind, "broken");
        const whole = await runWith(framing, event);
        assert.equal(whole.kind, "answered");
      });
    });
  });
});
