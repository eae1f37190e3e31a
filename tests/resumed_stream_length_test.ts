// A resumed stream got more or fewer bytes than the length that its caller was told.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createAnswer } from "./http_gateway_fixture.ts";
import { awaitAnswer } from "./received_answer.ts";
import {
  CLEAN_UPS,
  createEvent,
  openStream,
  type RequestHandler,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

const WHOLE = createEvent(1) + createEvent(2);
const TYPE = ["Content-Type: text/event-stream"];

/** Requests a stream that breaks off after its first event, and is resumed with the rest. */
async function resumeWith(rest: string) {
  const handlers: RequestHandler[] = [
    (_, socket) => {
      socket.write(createAnswer("c1", WHOLE, TYPE).slice(0, -15));
      setTimeout(() => socket.destroy(), 50);
    },
    (_, socket) => socket.write(rest),
  ];
  let received = 0;
  const handle: RequestHandler = (request, socket) =>
    handlers[received++]!(request, socket);
  const { gateway } = await startStreamingGateway([handle, handle], {
    resumable: true,
    maxAttempts: 2,
  });
  return await awaitAnswer(await openStream(gateway.port));
}

describe("a stream with a length that another server resumes", () => {
  const rests: Readonly<Record<string, string>> = {
    same: createEvent(2),
    longer: createEvent(2) + createEvent(3),
    shorter: "id: 2\ndata: x\n\n",
  };
  for (const [name, rest] of Object.entries(rests)) {
    const forms = {
      "with a length": createAnswer("c1", rest, TYPE),
      "in a chunk": STREAM_HEAD + toChunk(rest) + STREAM_END,
    };
    for (const [form, text] of Object.entries(forms)) {
      it(`is whole for its caller (${name} rest ${form})`, async () => {
        const answer = await resumeWith(text);
        assert.equal(answer.body, createEvent(1) + rest);
        assert.equal(answer.looksComplete, true);
      });
    }
  }
});
