import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { CarriedWork } from "../capacity/mod.ts";
import type { OpaqueCall } from "../forwarding/mod.ts";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { openRawCaller } from "../tests/raw_http.ts";
import { CallListener, type CallListenerParts } from "./call_listener.ts";
import { waitUntil } from "../tests/wait_until.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET /a?key=secret HTTP/1.1\r\nHost: a.example\r\n\r\n";
const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

async function start(
  handle: CallListenerParts["handle"],
  work = new CarriedWork({}),
) {
  const { lines, logger } = createRecordingLogger();
  const listener = new CallListener({
    host: HOST,
    port: 0,
    logger,
    nowMs: () => 0,
    readLoopDelayMs: () => 0,
    readOrigin: () => ({ kind: "caller" }),
    work,
    handle,
  });
  const port = await listener.open();
  CLEAN_UPS.push(() => listener.destroy());
  const send = async (bytes: string) => {
    const caller = await openRawCaller(port, HOST);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(bytes);
    return caller;
  };
  return { lines, listener, send };
}

describe("CallListener", () => {
  // A rejection that nobody takes ends the process with all other calls.
  describe("when the handler of a call fails", () => {
    it("answers with 500, which promises nothing, and serves the next call", async () => {
      const { send } = await start(() => Promise.reject(new Error("a bug")));
      const caller = await send(REQUEST + REQUEST);
      const received = await caller.awaitText(/500 [^]*500 /);
      assert.equal(received.match(/HTTP\/1\.1 500 /g)?.length, 2);
      assert.doesNotMatch(received, /Retry-After/);
    });

    it("logs the error, without the query of the call", async () => {
      const { lines, send } = await start(() =>
        Promise.reject(new Error("a bug"))
      );
      await (await send(REQUEST)).awaitText("500");
      assert.match(lines.join(), /call failed.*"path":"\/a".*a bug/);
      assert.doesNotMatch(lines.join(), /secret/);
    });

    it("breaks off an answer that has begun", async () => {
      const { listener, send } = await start((_, sink) => {
        sink.begin({ status: 200, statusText: "OK", headers: [] });
        sink.write(Buffer.from("part"));
        return Promise.reject(new Error("a bug"));
      });
      const received = await (await send(REQUEST)).awaitEnd();
      assert.doesNotMatch(received, /\r\n0\r\n\r\n$/);
      assert.equal(listener.openCount, 0);
    });
  });

  // An instance without a configuration told callers that their proper calls were too large.
  describe("when a call is over the bounds that hold before the first configuration", () => {
    const large =
      "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2000000\r\n\r\n";
    const wide = `GET /a HTTP/1.1\r\nHost: a.example\r\nX: ${
      "x".repeat(20_000)
    }\r\n\r\n`;
    [["body", large, 413], ["header", wide, 431]].forEach(
      ([part, request, status]) => {
        it(`answers 503 for its ${part}, and ${status} once they are in force`, async () => {
          const { listener, send } = await start(() => Promise.resolve());
          const early = await (await send(String(request))).awaitText("error");
          assert.match(early, /^HTTP\/1\.1 503 /);
          assert.match(early, /Retry-After: /);
          listener.setLimits(INITIAL_LIMITS);
          const late = await (await send(String(request))).awaitText("error");
          assert.match(late, new RegExp(`^HTTP/1\\.1 ${status} `));
        });
      },
    );
  });

  // Headers beyond the first thousand lines were dropped, also those of the protocol.
  it("passes on all lines of a head", async () => {
    const calls: OpaqueCall[] = [];
    const { send } = await start((call) => {
      calls.push(call);
      return Promise.resolve();
    });
    const lines = Array.from({ length: 1_500 }, (_, at) => `x${at}: b\r\n`);
    await send(`GET /a HTTP/1.1\r\n${lines.join("")}Host: a.example\r\n\r\n`);
    await waitUntil(() => calls.length > 0);
    assert.equal(calls[0]!.headers.length, 2 * 1_501);
    assert.deepEqual(calls[0]!.headers.slice(-2), ["Host", "a.example"]);
  });

  // Of an answer that broke off, no line told which side had closed the connection.
  describe("when a connection closes within an answer", () => {
    const startHeld = async () => {
      const signals: AbortSignal[] = [];
      const started = await start((_, { signal }) => {
        signals.push(signal);
        return Promise.resolve();
      });
      const { socket } = await started.send(REQUEST);
      await waitUntil(() => signals.length > 0);
      const awaitReason = async () => {
        await waitUntil(() => signals[0]!.aborted);
        return signals[0]!.reason;
      };
      return { ...started, socket, awaitReason };
    };

    (["end", "resetAndDestroy"] as const).forEach((close) =>
      it(`tells that the caller closed it (${close})`, async () => {
        const { awaitReason, socket } = await startHeld();
        socket[close]();
        assert.match(await awaitReason(), /^the caller /);
      })
    );

    it("tells that this instance closed it", async () => {
      const { awaitReason, listener } = await startHeld();
      listener.destroy();
      assert.match(await awaitReason(), /^this instance /);
    });
  });

  // An instance that accepts more than it can carry answers everyone late, or ends for
  // lack of memory or descriptors.
  describe("when the instance cannot carry a call", () => {
    const never = () => new Promise<void>(() => {});
    const createPost = (bytes: number) =>
      `POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bytes}\r\n\r\n`;

    it("refuses it at once with a time to retry, until others end or their callers leave", async () => {
      const work = new CarriedWork({ cores: 0.00176, memoryMb: 101 });
      const { send } = await start(never, work);
      const post = createPost(300_000);
      const first = await send(post);
      await waitUntil(() => work.bodyBytes === 300_000);
      const refused = await (await send(post)).awaitEnd();
      assert.match(refused, /^HTTP\/1\.1 503 .*Retry-After: 0\.150.*: memory/s);
      first.socket.destroy();
      await waitUntil(() => work.bodyBytes === 0 && work.calls === 0);
      // The responses behind the first one of a connection are not closed with it.
      const second = await send(REQUEST + REQUEST + REQUEST);
      await waitUntil(() => work.calls === 3);
      assert.match(
        await (await send(REQUEST)).awaitEnd(),
        / 503 .*: processor/s,
      );
      second.socket.destroy();
      await waitUntil(() => work.calls === 0);
    });

    it("refuses heads of many pieces while the memory for heads is taken", async () => {
      const work = new CarriedWork({ heapMb: 1 });
      const { send } = await start(never, work);
      const parts = Array.from({ length: 900 }, (_, at) => `${at}:256`).join();
      const request =
        `GET /a HTTP/1.1\r\nHost: a.example\r\nX-P: ${parts}\r\n\r\n`;
      const callers = [await send(request), await send(request)];
      await waitUntil(() => work.calls === 1 && work.headBytes > 180_000);
      const texts = await Promise.race(
        callers.map((caller) => caller.awaitEnd()),
      );
      assert.match(texts, / 503 .*Retry-After: .*: memory/s);
      assert.equal(work.calls, 1);
      callers.forEach(({ socket }) => socket.destroy());
      await waitUntil(() => work.headBytes === 0);
    });
  });
});
