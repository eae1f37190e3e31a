import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { openRawCaller } from "../tests/raw_http.ts";
import { CallListener, type CallListenerParts } from "./call_listener.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET /a?key=secret HTTP/1.1\r\nHost: a.example\r\n\r\n";
const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

async function start(handle: CallListenerParts["handle"]) {
  const { lines, logger } = createRecordingLogger();
  const listener = new CallListener({
    host: HOST,
    port: 0,
    logger,
    nowMs: () => 0,
    readLoopDelayMs: () => 0,
    readOrigin: () => ({ kind: "caller" }),
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
});
