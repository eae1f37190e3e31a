import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import type { Socket } from "node:net";
import { createRequest } from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller } from "./raw_http.ts";
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

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

function listIds(answer: string): readonly string[] {
  return [...answer.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id!);
}

/** Sends two whole events and a truncated one, or continues after the event in `Last-Event-Id`. */
function answerInPart(request: string, socket: Socket): void {
  const lastEventId = findHeader(request, "last-event-id");
  if (lastEventId === undefined) {
    const truncated = createEvent(3).slice(0, 12);
    socket.write(
      STREAM_HEAD + toChunk(createEvent(1)) +
        toChunk(createEvent(2) + truncated),
      () => setTimeout(() => socket.destroy(), 20),
    );
    return;
  }
  const nextId = Number(lastEventId) + 1;
  socket.write(
    STREAM_HEAD + toChunk(createEvent(nextId)) +
      toChunk(createEvent(nextId + 1)) + STREAM_END,
  );
}

describe("a stream", () => {
  it("is passed on event by event as it arrives", async () => {
    let sendRest = () => {};
    const { gateway } = await startStreamingGateway([(_, socket) => {
      socket.write(STREAM_HEAD + toChunk(createEvent(1)));
      sendRest = () => socket.write(toChunk(createEvent(2)) + STREAM_END);
    }], { resumable: true, maxAttempts: 2 });
    const caller = await openRawCaller(gateway.port);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(createRequest("/a/x"));
    const early = await caller.awaitText("token 1");
    assert.deepEqual(listIds(early), ["1"]);
    sendRest();
    const all = await caller.awaitText(STREAM_END);
    assert.deepEqual(listIds(all), ["1", "2"]);
  });

  describe("that breaks off and may be resumed", () => {
    it("continues at another server with no event truncated, missing or repeated", async () => {
      const { gateway, servers } = await startStreamingGateway([
        answerInPart,
        answerInPart,
      ], {
        resumable: true,
        maxAttempts: 2,
      });
      const answer = await requestStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2", "3", "4"]);
      assert.equal(answer.match(/token 3/g)?.length, 1);
      assert.ok(answer.endsWith(STREAM_END));
      assert.equal(answer.match(/HTTP\/1\.1/g)?.length, 1);
      const lastEventIds = servers.flatMap(({ requests }) => requests)
        .map((request) => findHeader(request, "last-event-id"));
      assert.deepEqual(lastEventIds.filter((id) => id !== undefined), ["2"]);
    });

    it("continues at another server when its own falls silent", async () => {
      const fallSilent: RequestHandler = (request, socket) => {
        if (findHeader(request, "last-event-id") !== undefined) {
          return answerInPart(request, socket);
        }
        socket.write(
          STREAM_HEAD + toChunk(createEvent(1)) + toChunk(createEvent(2)),
        );
      };
      const { gateway } = await startStreamingGateway(
        [fallSilent, fallSilent],
        {
          resumable: true,
          maxAttempts: 2,
        },
      );
      const answer = await requestStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2", "3", "4"]);
      assert.ok(answer.endsWith(STREAM_END));
    });

    it("is recognizably incomplete when no attempt is left", async () => {
      const { gateway } = await startStreamingGateway([
        answerInPart,
        answerInPart,
      ], {
        resumable: true,
        maxAttempts: 1,
      });
      const answer = await requestStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2"]);
      assert.ok(!answer.endsWith(STREAM_END));
    });

    it("passes no answer of another type on after the events", async () => {
      const answerWithPage: RequestHandler = (request, socket) => {
        if (findHeader(request, "last-event-id") === undefined) {
          return answerInPart(request, socket);
        }
        socket.write(
          STREAM_HEAD.replace("text/event-stream", "text/html") +
            toChunk("<p>page</p>") + STREAM_END,
        );
      };
      const { gateway } = await startStreamingGateway([
        answerWithPage,
        answerWithPage,
      ], {
        resumable: true,
        maxAttempts: 2,
      });
      const answer = await requestStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2"]);
      assert.doesNotMatch(answer, /page/);
      assert.ok(!answer.endsWith(STREAM_END));
    });

    it("passes no error answer of the second server on after the events", async () => {
      const answerWithError: RequestHandler = (request, socket) => {
        if (findHeader(request, "last-event-id") === undefined) {
          return answerInPart(request, socket);
        }
        socket.write(
          STREAM_HEAD.replace("200 OK", "500 Error") + toChunk("failure") +
            STREAM_END,
        );
      };
      const { gateway } = await startStreamingGateway([
        answerWithError,
        answerWithError,
      ], {
        resumable: true,
        maxAttempts: 2,
      });
      const answer = await requestStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2"]);
      assert.doesNotMatch(answer, /failure/);
      assert.ok(!answer.endsWith(STREAM_END));
    });
  });

  it("that breaks off and may not be resumed is recognizably incomplete", async () => {
    const { gateway, servers } = await startStreamingGateway([
      answerInPart,
      answerInPart,
    ], {
      resumable: false,
      maxAttempts: 2,
    });
    const answer = await requestStream(gateway.port);
    assert.ok(!answer.endsWith(STREAM_END));
    assert.equal(servers.flatMap(({ requests }) => requests).length, 1);
  });

  it("applies backpressure to its server while the caller does not read", async () => {
    const large = "x".repeat(64_000);
    let sent = 0;
    let reportSent = (_sent: number) => {};
    const stalled = new Promise<number>((resolve) => (reportSent = resolve));
    const { gateway } = await startStreamingGateway([(_, socket) => {
      socket.write(STREAM_HEAD);
      const writeChunk = () => {
        if (sent > 100_000_000) return reportSent(sent);
        sent += large.length;
        if (socket.write(toChunk(large))) setImmediate(writeChunk);
        else {
          const stallTimer = setTimeout(() => reportSent(sent), 300);
          socket.once("drain", () => {
            clearTimeout(stallTimer);
            writeChunk();
          });
        }
      };
      writeChunk();
    }], { resumable: false, maxAttempts: 1 });
    const caller = await openRawCaller(gateway.port);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.pause();
    caller.socket.write(createRequest("/a/x"));
    assert.ok(await stalled < 50_000_000);
  });
});
