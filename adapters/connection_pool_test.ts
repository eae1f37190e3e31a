import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { Client } from "undici";
import { blockEventLoop } from "../tests/block_event_loop.ts";
import { startRawServer } from "../tests/raw_http.ts";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { waitUntil } from "../tests/wait_until.ts";
import type { SendEvents } from "../forwarding/mod.ts";
import { ConnectionPool } from "./connection_pool.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Sends one call; `ended` resolves with "answered" or with the message of the failure. */
function send(
  pool: ConnectionPool,
  address: string,
  { callId = "", maxConnections = 8, ...events }:
    & { readonly callId?: string; readonly maxConnections?: number }
    & Partial<SendEvents> = {},
) {
  let finish: (outcome: string) => void;
  let kind: string | undefined;
  const ended = new Promise<string>((resolve) => {
    finish = resolve;
  });
  const active = pool.send({
    address,
    callId,
    method: "GET",
    target: "/",
    headers: [],
    body: Buffer.alloc(0),
    maxConnections,
  }, {
    onHead: () => {},
    onData: () => true,
    onEnd: () => finish("answered"),
    ...events,
    onFailure: (failure) => {
      ({ kind } = failure);
      finish(failure.message);
    },
  });
  return { active, ended, failure: () => kind };
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Number that Linux shows for the keep-alive timer of a connection. */
const KEEP_ALIVE_TIMER = 2;
/** Unit of a timer that Linux shows, in milliseconds. */
const CLOCK_TICK_MS = 10;

/** Returns the timer that Linux shows for this machine's end of the connection to a port. */
function readTimer(
  port: number,
): { readonly kind: number; readonly dueMs: number } {
  const remotePort = port.toString(16).toUpperCase().padStart(4, "0");
  const row = readFileSync("/proc/self/net/tcp", "utf8").split("\n")
    .map((line) => line.trim().split(/\s+/))
    .find(([, , remote]) => remote?.endsWith(`:${remotePort}`));
  const [kind, ticks] = (row?.[5] ?? "").split(":");
  return {
    kind: Number(kind),
    dueMs: CLOCK_TICK_MS * Number.parseInt(ticks ?? "", 16),
  };
}

/** Returns the kind of failure of a send to a server with a given behavior. */
async function readFailure(
  behave: (socket: Socket) => void,
): Promise<string | undefined> {
  const server = await startRawServer((_, socket) => behave(socket));
  const pool = new ConnectionPool();
  const { ended, failure } = send(pool, server.address);
  await ended;
  pool.close();
  server.close();
  return failure();
}

/** Sends calls one after the other, each of which may not use its connection again; returns the number of connections. */
async function countExcluding(callIds: readonly string[]): Promise<number> {
  const server = await startRawServer((_, socket) => socket.write(ANSWER));
  const pool = new ConnectionPool();
  for (const callId of callIds) {
    const sent: ReturnType<typeof send> = send(pool, server.address, {
      callId,
      onHead: () => sent.active.excludeCall?.(),
    });
    await sent.ended;
  }
  pool.close();
  server.close();
  return server.sockets.length;
}

describe("ConnectionPool", () => {
  describe("where the client writes a request a second time", () => {
    it("aborts it before it is written, and says that it may have run", async () => {
      const { dispatch } = Client.prototype;
      Client.prototype.dispatch = function (options, handler) {
        const { onConnect } = handler;
        handler.onConnect = (...args) => {
          onConnect!.apply(handler, args);
          onConnect!.apply(handler, args);
        };
        return dispatch.call(this, options, handler);
      };
      const server = await startRawServer((_, socket) => socket.write(ANSWER));
      const pool = new ConnectionPool();
      const { ended, failure } = send(pool, server.address);
      assert.match(await ended, /written twice/);
      assert.equal(failure(), "unknown");
      assert.equal(server.requests.length, 0);
      Client.prototype.dispatch = dispatch;
      pool.close();
      server.close();
    });
  });

  describe("after a call that may not use its connection again", () => {
    it("uses the connection for other calls only", async () => {
      assert.equal(await countExcluding(["c1", "c2"]), 1);
      assert.equal(await countExcluding(["c1", "c1"]), 2);
      assert.equal(await countExcluding(["c1", "c1", "c2", "c1"]), 3);
    });

    it("closes the connection if the call has no id", async () => {
      assert.equal(await countExcluding(["", "c1"]), 2);
    });

    it("closes the connection once many calls may not use it", async () => {
      const callIds = Array.from({ length: 33 }, (_, at) => `c${at}`);
      assert.equal(await countExcluding(callIds.slice(1)), 1);
      assert.equal(await countExcluding(callIds), 2);
    });
  });

  // The client's timers count their calls, not the time that has passed.
  describe("after a standstill of this process", () => {
    const countConnections = async (
      pool: ConnectionPool,
      standStill: () => void,
    ) => {
      const told = ANSWER.replace("\r\n", "\r\nKeep-Alive: timeout=2\r\n");
      const server = await startRawServer((_, socket) => socket.write(told));
      await send(pool, server.address).ended;
      standStill();
      await wait(1);
      await send(pool, server.address).ended;
      pool.close();
      server.close();
      return server.sockets.length;
    };

    it("uses no connection that was idle for longer than its server told", async () => {
      const pools = [new ConnectionPool(), new ConnectionPool()] as const;
      assert.equal(await countConnections(pools[0], () => {}), 1);
      const standStill = () => blockEventLoop(2_500);
      assert.equal(await countConnections(pools[1], standStill), 2);
    });

    it("uses no connection whose answer may have waited unread for as long", async () => {
      const pool = new ConnectionPool({ readLoopDelayMs: () => 2_500 });
      assert.equal(await countConnections(pool, () => {}), 2);
    });
  });

  describe("when a send fails", () => {
    it("reports `closed` only if the server closed the connection", async () => {
      const half = ANSWER.slice(0, -1);
      const kinds = await Promise.all([
        (socket: Socket) => socket.destroy(),
        (socket: Socket) => socket.resetAndDestroy(),
        (socket: Socket) => socket.end(half),
        (socket: Socket) => socket.end("no answer in any protocol\r\n\r\n"),
      ].map(readFailure));
      assert.deepEqual(kinds, ["closed", "closed", "closed", "unknown"]);
    });
  });

  // An error at the last byte was taken by the HTTP client, and the call waited until its deadline.
  describe("when the receiver of an answer throws", () => {
    (["onHead", "onData", "onEnd"] as const).forEach((event) =>
      it(`tells it that the send failed (${event})`, async () => {
        const server = await startRawServer((_, socket) =>
          socket.write(ANSWER)
        );
        const pool = new ConnectionPool();
        const { ended } = send(pool, server.address, {
          [event]: () => {
            throw new Error("a bug");
          },
        });
        const outcome = await Promise.race([ended, wait(500)]);
        pool.close();
        server.close();
        assert.equal(outcome, "a bug");
      })
    );
  });

  // A rejection whose body never ended kept its connection, and its place among those to its server.
  describe("when the rest of an unused answer does not end", () => {
    const head = "HTTP/1.1 503 Full\r\nContent-Length: 1000000000\r\n\r\n";
    const endings = [
      ["over 65536 bytes", "x".repeat(100_000)],
      ["over 500 ms", "x"],
    ] as const;
    endings.forEach(([reason, rest]) => {
      it(`closes its connection and logs that it is ${reason}`, async () => {
        const { lines, logger } = createRecordingLogger();
        const server = await startRawServer((_, socket) => {
          socket.write(server.requests.length === 1 ? head + rest : ANSWER);
        });
        const pool = new ConnectionPool({ logger });
        const { active } = send(pool, server.address, {
          maxConnections: 1,
          onHead: () => active.drain?.(),
        });
        await waitUntil(() => lines.length > 0);
        const next = send(pool, server.address, { maxConnections: 1 });
        assert.equal(await next.ended, "answered");
        assert.match(lines[0]!, new RegExp(reason));
        assert.equal(server.sockets[0]!.readyState, "closed");
        pool.close();
        server.close();
      });
    });
  });

  it("has the system probe a kept connection, so that its loss is noticed", async () => {
    const server = await startRawServer((_, socket) => socket.write(ANSWER));
    const pool = new ConnectionPool();
    await send(pool, server.address).ended;
    const timer = readTimer(Number(server.address.split(":")[1]));
    pool.close();
    server.close();
    assert.equal(timer.kind, KEEP_ALIVE_TIMER);
    assert.ok(timer.dueMs <= 1_000, `due in ${timer.dueMs} ms`);
  });

  describe("when kept connections go silent without a reset", () => {
    it("opens a new one after a silent send was aborted", async () => {
      const silentSockets = new Set<unknown>();
      const waiting: (() => void)[] = [];
      const server = await startRawServer((_, socket) => {
        if (silentSockets.has(socket)) return;
        waiting.push(() => socket.write(ANSWER));
        // The first three calls are answered together, so that three connections are kept.
        if (waiting.length >= 3) waiting.forEach((answer) => answer());
      });
      const pool = new ConnectionPool({ silenceMs: 20 });
      const first = [1, 2, 3].map(() => send(pool, server.address));
      assert.deepEqual(
        await Promise.all(first.map(({ ended }) => ended)),
        ["answered", "answered", "answered"],
      );
      assert.equal(server.sockets.length, 3);
      server.sockets.forEach((socket) => silentSockets.add(socket));
      const silent = send(pool, server.address);
      await wait(60);
      silent.active.abort();
      const next = send(pool, server.address);
      assert.equal(await next.ended, "answered");
      assert.equal(server.sockets.length, 4);
      pool.close();
      server.close();
    });

    it("keeps the others if the send was aborted at once", async () => {
      let isSilent = false;
      const server = await startRawServer((_, socket) => {
        if (!isSilent) socket.write(ANSWER);
      });
      const pool = new ConnectionPool({ silenceMs: 60_000 });
      const first = [1, 2].map(() => send(pool, server.address));
      await Promise.all(first.map(({ ended }) => ended));
      const opened = server.sockets.length;
      isSilent = true;
      send(pool, server.address).active.abort();
      isSilent = false;
      assert.equal(await send(pool, server.address).ended, "answered");
      assert.equal(server.sockets.length, opened);
      pool.close();
      server.close();
    });
  });
});
