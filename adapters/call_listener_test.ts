import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { CarriedWork } from "../capacity/mod.ts";
import type { CallSink, OpaqueCall } from "../forwarding/mod.ts";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { blockEventLoop } from "../tests/block_event_loop.ts";
import { openRawCaller } from "../tests/raw_http.ts";
import { CallListener, type CallListenerParts } from "./call_listener.ts";
import { waitUntil } from "../tests/wait_until.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET /a?key=secret HTTP/1.1\r\nHost: a.example\r\n\r\n";
/** Time after which the check for late calls has run, in milliseconds. */
const LATE_MS = 2_200;
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
  const send = async (bytes: string, allowHalfOpen = false) => {
    const caller = await openRawCaller(port, HOST, allowHalfOpen);
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

  // A call refused with 408, "not run", was run once the rest of it had arrived.
  describe("when the rest of a call arrives too late", () => {
    const POST = "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n";
    const PARTS = [
      ["head", POST, "\r\nbody"],
      ["body", `${POST}\r\nbo`, "dy"],
    ] as const;
    for (const [name, first, rest] of PARTS) {
      for (const isBlocked of [false, true]) {
        it(`is refused and not run (${name}, event loop blocked: ${isBlocked})`, async () => {
          const handled: OpaqueCall[] = [];
          const { listener, send } = await start((call) => {
            handled.push(call);
            return Promise.resolve();
          });
          listener.setLimits({
            ...INITIAL_LIMITS,
            headerTimeoutMs: 100,
            idleTimeoutMs: 100,
          });
          const caller = await send(first, true);
          if (isBlocked) {
            await sleep(50);
            caller.socket.write(rest);
            blockEventLoop(LATE_MS);
          }
          await Promise.race([caller.awaitText("408"), sleep(LATE_MS)]);
          if (!isBlocked) caller.socket.write(rest);
          // The bytes of another call arrive behind it.
          caller.socket.write(REQUEST);
          await sleep(50);
          const isRefused = caller.read().includes("408");
          assert.equal(handled.length, isRefused ? 0 : 2);
        });
      }
    }
  });

  // Its connection stayed open for ever.
  it("refuses a call as late whose head arrived together with the call before it", async () => {
    const { listener, send } = await start((_, sink) => {
      sink.begin({ status: 200, statusText: "OK", headers: [] });
      sink.end([]);
      return Promise.resolve();
    });
    listener.setLimits({
      ...INITIAL_LIMITS,
      headerTimeoutMs: 100,
      idleTimeoutMs: 100,
    });
    const caller = await send(
      `${REQUEST}POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbo`,
    );
    await Promise.race([caller.awaitEnd(), sleep(LATE_MS)]);
    assert.match(caller.read(), /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 408 /);
  });

  // It was refused with 400 for the bytes behind it, and run.
  it("answers a whole call that arrives together with bytes that are not HTTP", async () => {
    const { send } = await start((_, sink) => {
      sink.begin({ status: 200, statusText: "OK", headers: [] });
      sink.end([]);
      return Promise.resolve();
    });
    const caller = await send(`${REQUEST}\u0001 nothing\r\n\r\n`);
    const received = await caller.awaitEnd();
    assert.match(received, /^HTTP\/1\.1 200 /);
    assert.doesNotMatch(received, / 400 /);
  });

  describe("when calls are pipelined", () => {
    const startHeld = async () => {
      const sinks: CallSink[] = [];
      const started = await start((_, sink) => {
        sinks.push(sink);
        return Promise.resolve();
      });
      return { ...started, sinks };
    };
    const begin = (sink: CallSink) =>
      sink.begin({
        status: 200,
        statusText: "OK",
        headers: ["Content-Length", "2"],
      });
    const end = (sink: CallSink) => {
      sink.write(Buffer.from("ok"));
      sink.end([]);
    };

    // A call that a server had was lost behind an answer that ended its connection.
    it("answers each call that it has handled, and ends the connection with the last one, while it leaves", async () => {
      const { listener, send, sinks } = await startHeld();
      listener.startLeaving();
      const caller = await send(REQUEST);
      await waitUntil(() => sinks.length === 1);
      caller.socket.write(REQUEST);
      await waitUntil(() => sinks.length === 2);
      begin(sinks[0]!);
      end(sinks[0]!);
      begin(sinks[1]!);
      caller.socket.write(REQUEST);
      await sleep(50);
      end(sinks[1]!);
      const received = await caller.awaitEnd();
      assert.equal(received.match(/ 200 OK/g)?.length, 2);
      assert.match(received, /ok[^]*Connection: close[^]*ok$/);
      assert.equal(sinks.length, 2);
    });

    // They were lost, and their connection stayed open, as the refusal waited behind them.
    it("answers the whole calls whose packet holds a call that is refused", async () => {
      const { send } = await start((_, sink) => {
        begin(sink);
        end(sink);
        return Promise.resolve();
      });
      const caller = await send(
        `${REQUEST}${REQUEST}OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n`,
      );
      await Promise.race([caller.awaitEnd(), sleep(1_000)]);
      assert.match(
        caller.read(),
        /^HTTP\/1\.1 200 [^]* 200 [^]*HTTP\/1\.1 400 /,
      );
    });

    // It ran although its connection had been ended before it was whole.
    it("does not run a late call once its connection ended behind another one", async () => {
      const { listener, send, sinks } = await startHeld();
      listener.setLimits({
        ...INITIAL_LIMITS,
        headerTimeoutMs: 100,
        idleTimeoutMs: 100,
      });
      const caller = await send(`${REQUEST}GET /a HTTP/1.1\r\n`, true);
      await sleep(LATE_MS);
      begin(sinks[0]!);
      end(sinks[0]!);
      await caller.awaitText("ok");
      await sleep(50);
      caller.socket.write("Host: a.example\r\n\r\n");
      await sleep(50);
      assert.equal(sinks.length, 1);
    });

    // A call behind another one went on without its caller, and a shutdown waited for it.
    it("ends them all when their connection breaks", async () => {
      const { listener, send, sinks } = await startHeld();
      const caller = await send(REQUEST + REQUEST);
      await waitUntil(() => sinks.length === 2);
      caller.socket.destroy();
      await waitUntil(() => sinks.every(({ signal }) => signal.aborted), 1_000);
      sinks.forEach(({ signal }) =>
        assert.match(String(signal.reason), /^the caller /)
      );
      assert.equal(listener.openCount, 0);
    });
  });

  // Calls that no handler got left no line.
  it("logs who ended a call that no handler gets, and why", async () => {
    const { lines, listener, send } = await start(() => Promise.resolve());
    listener.setLimits({ ...INITIAL_LIMITS, maxBodyBytes: 1 });
    const post = "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: ";
    const expected: readonly (readonly [string, RegExp])[] = [
      [`${post}9\r\n\r\n`, /"by":"this instance","reason":"too-large"/],
      ["nothing\r\n\r\n", /"by":"this instance","reason":"malformed"/],
      [`${post}1\r\n\r\n`, /"by":"the caller".*within the call/],
    ];
    for (const [index, [bytes, line]] of expected.entries()) {
      const { socket } = await send(bytes);
      if (index === 2) setTimeout(() => socket.destroy(), 50);
      await waitUntil(() => lines.length > index);
      assert.match(lines[index]!, line);
    }
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
