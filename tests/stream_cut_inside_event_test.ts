// Guards against a stream that ends within an event and reaches its caller as a complete answer.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import type { Socket } from "node:net";
import { findHeader } from "./raw_http.ts";
import { awaitAnswer, listEventIds } from "./received_answer.ts";
import { startTwoRegions } from "./two_regions_fixture.ts";
import {
  CLEAN_UPS,
  createEvent,
  openStream,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
  UNFRAMED_STREAM_HEAD,
} from "./stream_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** A way in which a server frames a stream and ends it, as if it were complete. */
interface Framing {
  readonly name: string;
  readonly send: (socket: Socket, body: string) => void;
}

const FRAMINGS: readonly Framing[] = [
  {
    name: "neither a length nor chunks",
    send: (socket, body) => socket.end(UNFRAMED_STREAM_HEAD + body),
  },
  {
    name: "neither a length nor chunks, in HTTP/1.0",
    send: (socket, body) =>
      socket.end(UNFRAMED_STREAM_HEAD.replace("HTTP/1.1", "HTTP/1.0") + body),
  },
  {
    name: "a coding that does not tell its end",
    send: (socket, body) =>
      socket.end(STREAM_HEAD.replace("chunked", "identity") + body),
  },
  {
    name: "chunks and a last chunk",
    send: (socket, body) =>
      socket.write(STREAM_HEAD + toChunk(body) + STREAM_END),
  },
  {
    name: "chunks and no type",
    send: (socket, body) =>
      socket.write(
        STREAM_HEAD.replace(/Content-Type: .*\r\n/, "") + toChunk(body) +
          STREAM_END,
      ),
  },
  {
    name: "a length",
    send: (socket, body) =>
      socket.write(
        STREAM_HEAD.replace(
          "Transfer-Encoding: chunked",
          `Content-Length: ${body.length}`,
        ) + body,
      ),
  },
];

/** Moments within the third event at which a stream ends. */
const CUTS: readonly (readonly [string, string])[] = [
  ["in the name of a field", createEvent(3).slice(0, 1)],
  ["in the value of a field", createEvent(3).slice(0, 12)],
  ["after a line", createEvent(3).split("\n")[0] + "\n"],
  ["before the blank line", createEvent(3).slice(0, -1)],
];

/** Sends two whole events and a part of the third, or whole events after the one in `Last-Event-Id`. */
function answerInPart({ send }: Framing, part: string) {
  return (request: string, socket: Socket) => {
    const lastEventId = findHeader(request, "last-event-id");
    if (lastEventId === undefined) {
      send(socket, createEvent(1) + createEvent(2) + part);
      return;
    }
    const nextId = Number(lastEventId) + 1;
    socket.write(
      STREAM_HEAD + toChunk(createEvent(nextId) + createEvent(nextId + 1)) +
        STREAM_END,
    );
  };
}

async function requestAnswer(port: number, host?: string) {
  return await awaitAnswer(await openStream(port, host));
}

FRAMINGS.forEach((framing) => {
  describe(`a stream framed by ${framing.name}`, () => {
    CUTS.forEach(([where, part]) => {
      describe(`that ends within an event, ${where}`, () => {
        it("is incomplete for its caller if it may not be resumed", async () => {
          const { gateway } = await startStreamingGateway([
            answerInPart(framing, part),
          ], { resumable: false, maxAttempts: 1 });
          const answer = await requestAnswer(gateway.port);
          assert.equal(answer.looksComplete, false);
        });

        it("is incomplete for its caller if no attempt is left", async () => {
          const { gateway } = await startStreamingGateway([
            answerInPart(framing, part),
          ], { resumable: true, maxAttempts: 1 });
          const answer = await requestAnswer(gateway.port);
          assert.equal(answer.looksComplete, false);
          assert.equal(listEventIds(answer.body).join(), "1,2");
        });

        it("is resumed at another server if it may be", async () => {
          const servers = [1, 2].map(() => answerInPart(framing, part));
          const { gateway } = await startStreamingGateway(servers, {
            resumable: true,
            maxAttempts: 2,
          });
          const answer = await requestAnswer(gateway.port);
          assert.equal(listEventIds(answer.body).join(), "1,2,3,4");
          assert.equal(
            answer.body,
            [1, 2, 3, 4].map(createEvent).join(""),
          );
        });

        it("is incomplete for its caller if it came by way of another region", async () => {
          const { near } = await startTwoRegions(answerInPart(framing, part), {
            kind: "streaming",
            resumable: false,
          });
          const answer = await requestAnswer(near.port, near.host);
          assert.equal(answer.looksComplete, false);
        });
      });
    });
  });
});
