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

const EVENTS = [1, 2, 3].map(createEvent).join("");

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

/** Moments before the end of the first event, as all that the server sends. */
const EARLY_CUTS: readonly (readonly [string, string])[] = [
  ["in its head", UNFRAMED_STREAM_HEAD.slice(0, 40)],
  ["after its head", UNFRAMED_STREAM_HEAD],
  ["within its first event", UNFRAMED_STREAM_HEAD + createEvent(1).slice(0, 9)],
  [
    "between the line feeds of its first event",
    UNFRAMED_STREAM_HEAD +
    createEvent(1).slice(0, -1),
  ],
];
const ENDS: readonly (readonly [string, (socket: Socket) => void])[] = [
  ["ends", (socket) => socket.end()],
  ["is reset", (socket) => socket.resetAndDestroy()],
];

ENDS.forEach(([how, endConnection]) => {
  describe(`a stream without a length whose connection ${how}`, () => {
    EARLY_CUTS.filter(([where]) => where !== "after its head" || how !== "ends")
      .forEach(([where, sent]) => {
        /** Sends the beginning of the first stream, and whole streams afterwards. */
        function createServers() {
          let calls = 0;
          const answer = (_: string, socket: Socket) => {
            if (calls++ > 0) socket.end(UNFRAMED_STREAM_HEAD + EVENTS);
            else {socket.write(sent, () =>
                setTimeout(endConnection, 20, socket));}
          };
          return [answer, answer];
        }

        it(`${where} comes whole from another server if it may be resumed`, async () => {
          const { gateway } = await startStreamingGateway(createServers(), {
            resumable: true,
            maxAttempts: 2,
          });
          const answer = await requestAnswer(gateway.port);
          assert.equal(answer.status, "200");
          assert.equal(answer.body, EVENTS);
          assert.ok(answer.looksComplete);
        });

        it(`${where} is no complete success if it may not be resumed`, async () => {
          const { gateway } = await startStreamingGateway(createServers(), {
            resumable: false,
            maxAttempts: 2,
          });
          const answer = await requestAnswer(gateway.port);
          assert.ok(answer.status === "502" || !answer.looksComplete);
        });
      });

    it("at the end of an event is resumed with no event lost or doubled, if it shows", async () => {
      const answer = (request: string, socket: Socket) => {
        const after = Number(findHeader(request, "last-event-id") ?? "0");
        const part = after === 0 ? createEvent(1) + createEvent(2) : "";
        if (part === "") {
          socket.end(UNFRAMED_STREAM_HEAD + createEvent(after + 1));
        } else {
          socket.write(
            UNFRAMED_STREAM_HEAD + part,
            () => setTimeout(endConnection, 20, socket),
          );
        }
      };
      const { gateway } = await startStreamingGateway([answer, answer], {
        resumable: true,
        maxAttempts: 2,
      });
      const { body, mayBeCut } = await requestAnswer(gateway.port);
      // Nobody can tell a normal end between two events from the end of the stream.
      const expected = how === "ends" ? [1, 2] : [1, 2, 3];
      assert.equal(listEventIds(body).join(), expected.join());
      assert.ok(mayBeCut);
    });
  });
});
