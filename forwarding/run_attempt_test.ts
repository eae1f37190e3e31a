import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { systemClock } from "../adapters/system_clock.ts";
import { createHeadSink } from "../tests/opaque_call_fixture.ts";
import { measureHeapBytes } from "../tests/measure_heap.ts";
import type { AnswerFraming } from "./answer_framing.ts";
import { GATEWAY_HEADER_CODEC } from "./gateway_header_codec.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { type AttemptParts, runAttempt } from "./run_attempt.ts";
import type { SendEvents, ServerClient } from "./server_client.ts";

/** Bytes that are kept back, each a piece of its own. */
const KEPT_BYTES = 20_000;
/** Blocks take at most twice the bytes. */
const MAX_KEPT_GROWTH_BYTES = 200_000;

const STREAM_HEADERS = ["Content-Type", "text/event-stream"];

/** An attempt whose server a test plays. */
interface PlayedAttempt {
  readonly events: SendEvents;
  readonly outcome: Promise<AttemptOutcome>;
}

function startAttempt(overrides: Partial<AttemptParts> = {}): PlayedAttempt {
  let events: SendEvents | undefined;
  const client: ServerClient = {
    send: (_, receiver) => {
      events = receiver;
      return { resume: () => {}, abort: () => {} };
    },
  };
  const outcome = runAttempt({
    client,
    headerCodec: GATEWAY_HEADER_CODEC,
    sink: createHeadSink(() => {}),
    request: {
      address: "127.0.0.1:1",
      callId: "c1",
      method: "GET",
      target: "/a/x",
      headers: [],
      body: Buffer.alloc(0),
      maxConnections: 1,
    },
    holdsFailures: false,
    streams: { isStream: true, framesEvents: true },
    progress: { hasBegun: false, lastEventId: undefined },
    toPassedHead: (head) => head,
    onFirstByte: () => {},
    signal: new AbortController().signal,
    startHandover: () => undefined,
    clock: systemClock,
    ...overrides,
  });
  return { events: events!, outcome };
}

/** Returns how an attempt ended whose server sends these bytes and ends the message. */
async function runWith(framing: AnswerFraming, body: string) {
  const { events, outcome } = startAttempt();
  events.onHead({
    status: 200,
    statusText: "OK",
    headers: STREAM_HEADERS,
    framing,
  });
  events.onData(Buffer.from(body));
  events.onEnd([]);
  return await outcome;
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

  // Pieces that were kept as views held the buffer that they were read into, and filled the memory of the process.
  describe("when bytes that are kept back arrive one by one", () => {
    const measureGrowth = (status: number) => {
      const { events, outcome } = startAttempt({ holdsFailures: true });
      const before = measureHeapBytes();
      events.onHead({
        status,
        statusText: "",
        headers: STREAM_HEADERS,
        framing: "chunked",
      });
      for (let at = 0; at < KEPT_BYTES; at++) {
        events.onData(Buffer.alloc(4_096, "x").subarray(0, 1));
      }
      const growthBytes = measureHeapBytes() - before;
      assert.ok(growthBytes < MAX_KEPT_GROWTH_BYTES, `${growthBytes} bytes`);
      return { events, outcome };
    };

    it("keeps a failure in little more memory than its bytes", async () => {
      const { events, outcome } = measureGrowth(500);
      events.onEnd([]);
      const ended = await outcome;
      assert.ok(ended.kind === "failed");
      assert.equal(ended.answer.body.length, KEPT_BYTES);
    });

    it("keeps the beginning of an event in little more memory than its bytes", async () => {
      const { events, outcome } = measureGrowth(200);
      events.onEnd([]);
      assert.equal((await outcome).kind, "no-answer");
    });
  });

  // An event without an end was collected for as long as its server sent.
  it("breaks off an event that is over 4 MiB", async () => {
    const { events, outcome } = startAttempt();
    events.onHead({
      status: 200,
      statusText: "",
      headers: STREAM_HEADERS,
      framing: "chunked",
    });
    const piece = Buffer.alloc(65_536, "x");
    for (let sent = 0; sent <= 4_194_304; sent += piece.length) {
      events.onData(piece);
    }
    const ended = await outcome;
    assert.ok(ended.kind === "no-answer");
    assert.match(ended.message, /event is over 4194304 bytes/);
  });
});
