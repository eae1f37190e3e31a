// A timer that fires late was taken for the silence of others: an instance that had stalled dropped answers, servers and instances that it had not read yet.
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { afterEach, describe, it } from "node:test";
import { setImmediate as awaitCheckPhase } from "node:timers/promises";
import { request } from "undici";
import { callWithTimeout } from "../adapters/call_with_timeout.ts";
import { probeConnection } from "../adapters/probe_connection.ts";
import { readAnswerText } from "../adapters/read_answer.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { EventLoopDelay, scheduleEvery } from "../clock/mod.ts";
import type { Exchange } from "../filters/exchange.ts";
import { getDeadlineSignal } from "../filters/serve_locally.ts";
import { CapacityQueue } from "../forwarding/capacity_queue.ts";
import { createDirectoryRoute } from "../platform/instance_routes.ts";
import { blockEventLoop } from "./block_event_loop.ts";
import { createMember } from "./member_fixture.ts";
import { startRawServer } from "./raw_http.ts";
import { createReport } from "./report_fixture.ts";
import { VirtualEventLoop } from "./virtual_event_loop.ts";
import { createVirtualGateway, LOADED_STATE } from "./virtual_gateway.ts";

/** Time for which the process stalls, in milliseconds: longer than the timeouts below. */
const STALL_MS = 2_000;
const TIMEOUT_MS = 300;
const DATAGRAMS = 150;

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts an instance that knows another one, whose next report waits to be read when the process goes on. */
function startStalledDirectory() {
  const loop = new VirtualEventLoop();
  const gateway = createVirtualGateway("north-1", {
    clock: loop,
    createState: () => LOADED_STATE,
  });
  const other = createMember("north-2");
  gateway.fleet.setState("ready");
  gateway.loopDelay.start(new AbortController().signal);
  gateway.receiveReport(createReport(other, 1), other.address);
  loop.block(STALL_MS);
  loop.runDueTimers();
  const directory = createDirectoryRoute({
    callerPort: 80,
    maxTtlMs: 5_000,
    awaitCaughtUp: () => gateway.loopDelay.awaitCaughtUp(),
    pickEntries: (...asked) => gateway.pickEntries(...asked),
  });
  return {
    directory,
    readOn: async () => {
      gateway.receiveReport(createReport(other, 2), other.address);
      await loop.runIterations(10);
    },
  };
}

describe("an instance that has stalled", () => {
  describe("when the directory is asked before the reports of others are read", () => {
    it("names the others", async () => {
      const { directory, readOn } = startStalledDirectory();
      const query = new URLSearchParams({ name: "h", region: "north" });
      const asked = { query, body: "", caller: "127.0.0.1" };
      const answer = directory.handle(asked);
      await awaitCheckPhase();
      await readOn();
      const { body } = await answer;
      assert.equal(JSON.parse(body).addresses.length, 2);
    });
  });

  describe("when more datagrams have arrived meanwhile than Node reads at once", () => {
    it("counts as caught up once it has read them", async () => {
      const [receiver, sender] = [createSocket("udp4"), createSocket("udp4")];
      CLEAN_UPS.push(() => receiver.close(), () => sender.close());
      let received = 0;
      receiver.on("message", () => received++);
      receiver.bind(0, "127.0.0.1");
      await once(receiver, "listening");
      const { port } = receiver.address();
      const delay = new EventLoopDelay(systemClock);
      const ended = new AbortController();
      CLEAN_UPS.push(() => ended.abort());
      delay.start(ended.signal);
      Array.from(
        { length: DATAGRAMS },
        () => sender.send("report", port, "127.0.0.1"),
      );
      await awaitCheckPhase();
      blockEventLoop(2 * TIMEOUT_MS);
      await delay.awaitCaughtUp();
      assert.equal(received, DATAGRAMS);
    });
  });

  describe("when the answer to a call of its own has arrived meanwhile", () => {
    it("uses the answer", async () => {
      const server = await startRawServer((_, socket) => {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        blockEventLoop(2 * TIMEOUT_MS);
      });
      CLEAN_UPS.push(() => server.close());
      const bounds = { timeoutMs: TIMEOUT_MS };
      const text = await callWithTimeout(bounds, async (signal) => {
        const url = `http://${server.address}/`;
        const { body } = await request(url, { signal });
        return await readAnswerText(body);
      });
      assert.equal(text, "ok");
    });
  });

  describe("when a server has accepted a probe meanwhile", () => {
    it("counts the server as reached", async () => {
      const server = await startRawServer(() => {});
      CLEAN_UPS.push(() => server.close());
      // After this phase, timers run before sockets are read.
      await awaitCheckPhase();
      const isReached = probeConnection(server.address);
      blockEventLoop(1_000);
      assert.equal(await isReached, true);
    });
  });

  describe("when the deadline of a call of the OpenAI listener has passed", () => {
    it("reads answers before it gives up the call", () => {
      const loop = new VirtualEventLoop();
      const exchange = {
        call: { dueMs: TIMEOUT_MS },
        request: { signal: new AbortController().signal },
        ended: new AbortController().signal,
        deadlineSignal: undefined,
      };
      const signal = getDeadlineSignal(loop, exchange as unknown as Exchange);
      loop.block(STALL_MS);
      loop.runDueTimers();
      assert.equal(signal.aborted, false);
      loop.runDueTimers();
      assert.equal(signal.aborted, true);
    });
  });

  describe("when a periodic task is due", () => {
    it("reads what has arrived before it runs the task", () => {
      const loop = new VirtualEventLoop();
      let runs = 0;
      const { signal } = new AbortController();
      scheduleEvery(loop, TIMEOUT_MS, () => void runs++, signal);
      loop.block(STALL_MS);
      loop.runDueTimers();
      assert.equal(runs, 0);
      loop.runDueTimers();
      assert.equal(runs, 1);
    });
  });

  describe("when the answer that makes room for a waiting call has arrived meanwhile", () => {
    it("reads the answer before it ends the wait", async () => {
      const loop = new VirtualEventLoop();
      const queue = new CapacityQueue(loop);
      let hasEnded = false;
      const { signal } = new AbortController();
      const wait = queue.wait({ rank: 0, order: 1 }, TIMEOUT_MS, signal)
        .then(() => hasEnded = true);
      loop.block(STALL_MS);
      loop.runDueTimers();
      await awaitCheckPhase();
      assert.equal(hasEnded, false);
      loop.runDueTimers();
      await wait;
    });
  });
});
