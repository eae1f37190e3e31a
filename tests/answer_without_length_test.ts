// Guards against an answer that ends with its connection, and that looks proved or complete when it is neither.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import type { Socket } from "node:net";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";
import { awaitAnswer, listEventIds } from "./received_answer.ts";
import {
  createEvent,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
  UNFRAMED_STREAM_HEAD,
} from "./stream_fixture.ts";
import { startTwoRegions } from "./two_regions_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

type RequestHandler = Parameters<typeof startRawServer>[0];

const PLAIN_HEAD = UNFRAMED_STREAM_HEAD.replace(
  "text/event-stream",
  "text/plain",
);
const EVENTS = [1, 2, 3].map(createEvent).join("");
/** Time after which a caller has what was sent before, in milliseconds. */
const ARRIVED_AFTER_MS = 60;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function openCaller(port: number, host?: string) {
  const caller = await openRawCaller(port, host);
  CLEAN_UPS.push(() => caller.socket.destroy());
  return caller;
}

async function request(
  { host, port }: { readonly host?: string; readonly port: number },
  bytes = createRequest("/a/x", {
    method: "POST",
    body: "prompt",
    headers: ["Connection: close"],
  }),
) {
  const caller = await openCaller(port, host);
  caller.socket.write(bytes);
  return await awaitAnswer(caller);
}

async function startPlainGateway(handler: RequestHandler) {
  const server = await startRawServer(handler);
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: "unsafe" }],
    servers: { s1: server.address },
  });
  CLEAN_UPS.push(() => gateway.close(), () => server.close());
  return { gateway, server };
}

function startStreamGateway(handler: RequestHandler, resumable: boolean) {
  const route = { resumable, maxAttempts: 1 };
  return startStreamingGateway([handler], route);
}

/** Kinds of answers, and how to start a gateway whose servers give them. */
const KINDS = [
  {
    name: "a plain answer",
    head: PLAIN_HEAD,
    body: "whole",
    start: startPlainGateway,
  },
  {
    name: "a stream that may not be resumed",
    head: UNFRAMED_STREAM_HEAD,
    body: EVENTS,
    start: (handler: RequestHandler) => startStreamGateway(handler, false),
  },
  {
    name: "a stream that may be resumed",
    head: UNFRAMED_STREAM_HEAD,
    body: EVENTS,
    start: (handler: RequestHandler) => startStreamGateway(handler, true),
  },
  {
    name: "a stream by way of another region",
    head: UNFRAMED_STREAM_HEAD,
    body: EVENTS,
    start: async (handler: RequestHandler) => {
      const route = { kind: "streaming", resumable: false } as const;
      const { near } = await startTwoRegions(handler, route);
      return { gateway: near };
    },
  },
];

describe("an answer without a length", () => {
  KINDS.forEach(({ body, head, name, start }) => {
    describe(`that is ${name}`, () => {
      it("is complete, but says that it may have been cut, if the server's connection ends normally", async () => {
        const { gateway } = await start((_, socket) => socket.end(head + body));
        const { gateway: framed } = await start((_, socket) =>
          socket.write(
            head.replace("Connection: close", "Transfer-Encoding: chunked") +
              toChunk(body) + STREAM_END,
          )
        );
        const answer = await request(gateway);
        assert.equal(answer.body, body);
        assert.ok(answer.looksComplete);
        assert.ok(answer.mayBeCut);
        const proved = await request(framed);
        assert.ok(proved.looksComplete);
        assert.equal(proved.mayBeCut, false);
      });

      // The system closes the connections of a killed process as those of an answer that has ended.
      it("is incomplete for its caller if its connection just closes", async () => {
        const { gateway } = await start((_, socket) => {
          socket.write(head + body);
        });
        const closed = await openCaller(gateway.port, gateway.host);
        closed.socket.write(createRequest("/a/x", { method: "POST" }));
        await closed.awaitText(body);
        closed.socket.destroy();
        const answer = await awaitAnswer(closed);
        assert.equal(answer.looksComplete, false);
      });

      [0, 20].forEach((pauseMs) => {
        it(`is incomplete for its caller if its connection is reset after ${pauseMs} ms`, async () => {
          const { gateway } = await start((_, socket) => {
            const reset = () => socket.resetAndDestroy();
            socket.write(head + body, () => {
              if (pauseMs === 0) reset();
              else setTimeout(reset, pauseMs);
            });
          });
          const answer = await request(gateway);
          assert.equal(answer.looksComplete, false);
        });
      });

      it("is incomplete for its caller if its instance ends", async () => {
        const { gateway } = await start((_, socket) => {
          socket.write(head + body);
        });
        const caller = await openCaller(gateway.port, gateway.host);
        caller.socket.write(createRequest("/a/x", { method: "POST" }));
        await caller.awaitText(body);
        gateway.close();
        const answer = await awaitAnswer(caller);
        assert.equal(answer.looksComplete, false);
      });
    });
  });

  it("has no body and keeps its connection if the call is HEAD", async () => {
    const { gateway } = await startPlainGateway((_, socket) =>
      socket.write(PLAIN_HEAD.replace("Connection: close\r\n", ""))
    );
    const caller = await openCaller(gateway.port);
    const head = createRequest("/a/x", { method: "HEAD" });
    caller.socket.write(head);
    await caller.awaitText("\r\n\r\n");
    await wait(ARRIVED_AFTER_MS);
    caller.socket.write(head);
    const received = await caller.awaitText(/200[^]*200/);
    assert.equal(received.match(/HTTP\/1\.1 200/g)?.length, 2);
  });

  describe("on a connection with more calls", () => {
    const answerFirstWithoutLength = (request: string, socket: Socket) => {
      const isFirst = findHeader(request, "x-havenspur-attempt-id") === "c1";
      const head = PLAIN_HEAD.replace("c1", isFirst ? "c1" : "c2");
      setTimeout(() => socket.end(head + "whole"), ARRIVED_AFTER_MS);
    };

    it("is answered like the calls that were sent behind it before it began", async () => {
      const { gateway } = await startPlainGateway(answerFirstWithoutLength);
      const caller = await openCaller(gateway.port);
      const calls = ["c1", "c2"].map((callId) =>
        createRequest("/a/x", { callId })
      );
      caller.socket.write(calls.join(""));
      const received = await caller.awaitEnd();
      assert.equal(received.match(/HTTP\/1\.1 200/g)?.length, 2);
      assert.equal(received.match(/whole/g)?.length, 2);
    });

    it("lets a call that arrives behind it get its own answer", async () => {
      let end = () => {};
      const { gateway } = await startPlainGateway((request, socket) => {
        if (findHeader(request, "x-havenspur-attempt-id") !== "c1") {
          socket.write(createAnswer("c2", "second"));
          return;
        }
        socket.write(`${PLAIN_HEAD}who`);
        end = () => socket.end("le");
      });
      const caller = await openCaller(gateway.port);
      caller.socket.write(createRequest("/a/x"));
      await caller.awaitText("who");
      caller.socket.write(createRequest("/a/x", { callId: "c2" }));
      await wait(ARRIVED_AFTER_MS);
      end();
      const received = await caller.awaitText("second");
      assert.match(received, /who[^]*le\r\n0\r\n\r\nHTTP\/1\.1 200/);
    });
  });
});

describe("a stream in chunks", () => {
  it("whose rest ends only with its connection is incomplete", async () => {
    const answer = (request: string, socket: Socket) => {
      if (findHeader(request, "last-event-id") === undefined) {
        socket.write(
          STREAM_HEAD + toChunk(createEvent(1)),
          () => setTimeout(() => socket.destroy(), 20),
        );
      } else socket.end(UNFRAMED_STREAM_HEAD + createEvent(2));
    };
    const { gateway } = await startStreamingGateway([answer, answer], {
      resumable: true,
      maxAttempts: 2,
    });
    const received = await request(gateway);
    assert.equal(listEventIds(received.body).join(), "1,2");
    assert.equal(received.looksComplete, false);
  });

  it("that breaks off is reset for a caller that reads no chunks", async () => {
    const { gateway } = await startStreamingGateway([
      (_, socket) =>
        socket.write(
          STREAM_HEAD + toChunk(EVENTS),
          () => setTimeout(() => socket.destroy(), 20),
        ),
    ], { resumable: false, maxAttempts: 1 });
    const received = await request(
      gateway,
      createRequest("/a/x").replace("HTTP/1.1", "HTTP/1.0"),
    );
    assert.equal(received.framing, "connection");
    assert.equal(received.looksComplete, false);
  });

  it("that is whole ends normally for a caller that reads no chunks", async () => {
    const { gateway } = await startStreamingGateway([
      (_, socket) => socket.write(STREAM_HEAD + toChunk(EVENTS) + STREAM_END),
    ], {
      resumable: false,
      maxAttempts: 1,
    });
    const received = await request(
      gateway,
      createRequest("/a/x").replace("HTTP/1.1", "HTTP/1.0"),
    );
    assert.equal(received.body, EVENTS);
    assert.ok(received.looksComplete);
  });
});
