import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import type { Socket } from "node:net";
import { createRequest } from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller } from "./raw_http.ts";
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

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

function listIds(answer: string): readonly string[] {
  return [...answer.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id!);
}

/** Breaks off after two whole events and a torn one, or goes on from what is asked. */
function answerInPart(request: string, socket: Socket): void {
  const after = findHeader(request, "last-event-id");
  if (after === undefined) {
    const torn = createEvent(3).slice(0, 12);
    socket.write(
      STREAM_HEAD + toChunk(createEvent(1)) + toChunk(createEvent(2) + torn),
      () => setTimeout(() => socket.destroy(), 20),
    );
    return;
  }
  const first = Number(after) + 1;
  socket.write(
    STREAM_HEAD + toChunk(createEvent(first)) +
      toChunk(createEvent(first + 1)) + STREAM_END,
  );
}

describe("a stream", () => {
  it("goes out event by event as it arrives", async () => {
    let goOn = () => {};
    const { gateway } = await startStreams([(_, socket) => {
      socket.write(STREAM_HEAD + toChunk(createEvent(1)));
      goOn = () => socket.write(toChunk(createEvent(2)) + STREAM_END);
    }], { resumable: true, maxAttempts: 2 });
    const caller = await openRawCaller(gateway.port);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(createRequest("/a/x"));
    const early = await caller.awaitText("token 1");
    assert.deepEqual(listIds(early), ["1"]);
    goOn();
    const all = await caller.awaitText(STREAM_END);
    assert.deepEqual(listIds(all), ["1", "2"]);
  });

  describe("that breaks off and may be resumed", () => {
    it("goes on at another server with no event torn, missing or doubled", async () => {
      const { gateway, servers } = await startStreams([
        answerInPart,
        answerInPart,
      ], {
        resumable: true,
        maxAttempts: 2,
      });
      const answer = await askStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2", "3", "4"]);
      assert.equal(answer.match(/token 3/g)?.length, 1);
      assert.ok(answer.endsWith(STREAM_END));
      assert.equal(answer.match(/HTTP\/1\.1/g)?.length, 1);
      const asked = servers.flatMap(({ requests }) => requests)
        .map((request) => findHeader(request, "last-event-id"));
      assert.deepEqual(asked.filter((id) => id !== undefined), ["2"]);
    });

    it("goes on at another server when its own says nothing more", async () => {
      const fallSilent: StreamAnswer = (request, socket) => {
        if (findHeader(request, "last-event-id") !== undefined) {
          return answerInPart(request, socket);
        }
        socket.write(
          STREAM_HEAD + toChunk(createEvent(1)) + toChunk(createEvent(2)),
        );
      };
      const { gateway } = await startStreams([fallSilent, fallSilent], {
        resumable: true,
        maxAttempts: 2,
      });
      const answer = await askStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2", "3", "4"]);
      assert.ok(answer.endsWith(STREAM_END));
    });

    it("ends visibly broken when no attempt is left", async () => {
      const { gateway } = await startStreams([answerInPart, answerInPart], {
        resumable: true,
        maxAttempts: 1,
      });
      const answer = await askStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2"]);
      assert.ok(!answer.endsWith(STREAM_END));
    });

    it("passes on no failure of the second server behind its events", async () => {
      const fail: StreamAnswer = (request, socket) => {
        if (findHeader(request, "last-event-id") === undefined) {
          return answerInPart(request, socket);
        }
        socket.write(
          STREAM_HEAD.replace("200 OK", "500 Error") + toChunk("failure") +
            STREAM_END,
        );
      };
      const { gateway } = await startStreams([fail, fail], {
        resumable: true,
        maxAttempts: 2,
      });
      const answer = await askStream(gateway.port);
      assert.deepEqual(listIds(answer), ["1", "2"]);
      assert.doesNotMatch(answer, /failure/);
      assert.ok(!answer.endsWith(STREAM_END));
    });
  });

  it("that breaks off and may not be resumed ends visibly broken", async () => {
    const { gateway, servers } = await startStreams([
      answerInPart,
      answerInPart,
    ], {
      resumable: false,
      maxAttempts: 2,
    });
    const answer = await askStream(gateway.port);
    assert.ok(!answer.endsWith(STREAM_END));
    assert.equal(servers.flatMap(({ requests }) => requests).length, 1);
  });

  it("holds back its server while the caller does not read", async () => {
    const large = "x".repeat(64_000);
    let sent = 0;
    let finish = (_sent: number) => {};
    const stalled = new Promise<number>((resolve) => (finish = resolve));
    const { gateway } = await startStreams([(_, socket) => {
      socket.write(STREAM_HEAD);
      const push = () => {
        if (sent > 100_000_000) return finish(sent);
        sent += large.length;
        if (socket.write(toChunk(large))) setImmediate(push);
        else {
          const quiet = setTimeout(() => finish(sent), 300);
          socket.once("drain", () => {
            clearTimeout(quiet);
            push();
          });
        }
      };
      push();
    }], { resumable: false, maxAttempts: 1 });
    const caller = await openRawCaller(gateway.port);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.pause();
    caller.socket.write(createRequest("/a/x"));
    assert.ok(await stalled < 50_000_000);
  });
});
