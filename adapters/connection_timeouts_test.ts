import assert from "node:assert/strict";
import { once } from "node:events";
import { connect as connectTls } from "node:tls";
import { afterEach, describe, it } from "node:test";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import { generate } from "selfsigned";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { blockEventLoop } from "../tests/block_event_loop.ts";
import { CLEAN_UPS } from "../tests/clean_ups.ts";
import { openRawCaller, type RawCaller } from "../tests/raw_http.ts";
import { waitUntil } from "../tests/wait_until.ts";
import { CallListener } from "./call_listener.ts";
import { startEndpointServer, toJsonAnswer } from "./endpoint_server.ts";
import { DEFAULT_LISTENER_LIMITS, startListener } from "./http_listener.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";
const POST_HEAD =
  "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n";
/** Timeout of idle connections and of requests, in milliseconds. */
const TIMEOUT_MS = 400;
/** Time that is longer than all timeouts and the intervals between their checks, in milliseconds. */
const STANDSTILL_MS = 2_500;
/** Time within which a connection is closed after its timeout, in milliseconds. */
const CLOSED_AFTER_MS = 2_500;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

interface Started {
  readonly port: number;
  /** Closes the connections that are idle. */
  readonly closeIdle?: () => void;
}

async function startCallListener(idleTimeoutMs = TIMEOUT_MS) {
  const listener = new CallListener({
    host: HOST,
    port: 0,
    logger: createSilentLogger(),
    nowMs: () => 0,
    readLoopDelayMs: () => 0,
    readOrigin: () => ({ kind: "caller" }),
    handle: (_, sink) => {
      sink.begin({
        status: 200,
        statusText: "OK",
        headers: ["Content-Length", "4"],
        framing: "length",
      });
      sink.write(Buffer.from("done"));
      sink.end([]);
      return Promise.resolve();
    },
  });
  const setIdleTimeout = (timeoutMs: number) =>
    listener.setLimits({
      ...INITIAL_LIMITS,
      headerTimeoutMs: TIMEOUT_MS,
      idleTimeoutMs: timeoutMs,
    });
  setIdleTimeout(idleTimeoutMs);
  CLEAN_UPS.push(() => listener.destroy());
  return {
    port: await listener.open(),
    closeIdle: () => listener.closeIdle(),
    setIdleTimeout,
  };
}

async function startSmallRoutes(): Promise<Started> {
  const server = await startEndpointServer({
    host: HOST,
    port: 0,
    logger: createSilentLogger(),
    idleTimeoutMs: TIMEOUT_MS,
    routes: [{
      method: "GET",
      path: "/a",
      handle: () => toJsonAnswer(200, "done"),
    }],
  });
  CLEAN_UPS.push(() => server.close());
  return { port: server.port };
}

async function startEmbedded(isTls: boolean): Promise<Started> {
  const { cert, private: key } = await generate(undefined, { keySize: 2048 });
  const listener = await startListener({
    address: `${HOST}:0`,
    limits: {
      ...DEFAULT_LISTENER_LIMITS,
      bodyTimeoutMs: TIMEOUT_MS,
      idleTimeoutMs: TIMEOUT_MS,
    },
    logger: createSilentLogger(),
    handle: async ({ method, readBody }) => {
      const body = method === "POST" ? await readBody() : undefined;
      const status = body?.isErr() ? 408 : 200;
      return { kind: "whole", status, headers: {}, body: "done" };
    },
    tls: isTls ? { cert, key } : undefined,
  });
  CLEAN_UPS.push(() => void listener.destroy());
  return { port: listener.port, closeIdle: () => void listener.close() };
}

const LISTENERS = [
  { name: "callers and other instances", start: () => startCallListener() },
  { name: "the small routes", start: startSmallRoutes },
  { name: "the embedded default", start: () => startEmbedded(false) },
];

/** Opens a connection, sends a request and waits for its answer. */
async function openKept(port: number): Promise<RawCaller> {
  const caller = await openRawCaller(port, HOST);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(REQUEST);
  await caller.awaitText("done");
  return caller;
}

/** Waits while a part of a request is there, until the next timers run before the next reads. */
async function waitInPart(): Promise<void> {
  await sleep(TIMEOUT_MS / 2);
  await setImmediate();
}

/** Waits for the second answer of a connection. */
async function assertAnswered(caller: RawCaller): Promise<void> {
  const received = await caller.awaitText(/done[^]*done|HTTP\/1.1 [45]/);
  assert.match(received, /200 OK[^]*done[^]*200 OK[^]*done/);
}

describe("a listener of an instance that stood still", () => {
  LISTENERS.forEach(({ name, start }) => {
    it(`serves a request that arrived meanwhile on an idle connection (${name})`, async () => {
      const caller = await openKept((await start()).port);
      caller.socket.write(REQUEST);
      blockEventLoop(STANDSTILL_MS);
      await assertAnswered(caller);
    });

    it(`closes an idle connection on which nothing arrived (${name})`, async () => {
      const caller = await openKept((await start()).port);
      blockEventLoop(STANDSTILL_MS);
      const isClosed = await Promise.race([
        caller.awaitEnd(),
        sleep(CLOSED_AFTER_MS, false),
      ]);
      assert.notEqual(isClosed, false);
    });
  });

  it("serves a request that arrived meanwhile on an idle connection (TLS)", async () => {
    const { port } = await startEmbedded(true);
    const socket = connectTls({ host: HOST, port, rejectUnauthorized: false });
    CLEAN_UPS.push(() => socket.destroy());
    await once(socket, "secureConnect");
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    socket.write(REQUEST);
    await waitUntil(() => received.includes("done"));
    socket.write(REQUEST);
    blockEventLoop(STANDSTILL_MS);
    await waitUntil(() => socket.closed || /done[^]*done/.test(received));
    assert.match(received, /done[^]*200 OK[^]*done/);
  });

  // [what was sent before the standstill, what arrived unread]
  const SPLITS = [[REQUEST.slice(0, 20), REQUEST.slice(20)], [
    POST_HEAD,
    "body",
  ]] as const;
  SPLITS.forEach(([first, rest]) =>
    it(`serves a late request whose rest arrived meanwhile (${first.slice(0, 4)})`, async () => {
      const caller = await openKept((await startCallListener()).port);
      caller.socket.write(first);
      await waitInPart();
      caller.socket.write(rest);
      blockEventLoop(STANDSTILL_MS);
      await assertAnswered(caller);
    })
  );

  it("serves a request whose body arrived meanwhile (the embedded default)", async () => {
    const caller = await openKept((await startEmbedded(false)).port);
    caller.socket.write(POST_HEAD);
    await waitInPart();
    caller.socket.write("body");
    blockEventLoop(STANDSTILL_MS);
    await assertAnswered(caller);
  });

  it("refuses a late request whose rest does not arrive, though a part of it did", async () => {
    const caller = await openKept((await startCallListener()).port);
    caller.socket.write(REQUEST.slice(0, 20));
    await waitInPart();
    caller.socket.write(REQUEST.slice(20, 30));
    blockEventLoop(STANDSTILL_MS);
    assert.match(await caller.awaitEnd(), /done[^]*HTTP\/1\.1 408 /);
  });
});

describe("a listener that closes its idle connections", () => {
  LISTENERS.filter(({ name }) => name !== "the small routes").forEach(
    ({ name, start }) =>
      it(`serves a request that has arrived unread (${name})`, async () => {
        const { closeIdle, port } = await start();
        const [used, unused] = [await openKept(port), await openKept(port)];
        used.socket.write(REQUEST);
        closeIdle?.();
        await assertAnswered(used);
        assert.doesNotMatch(await unused.awaitEnd(), /done[^]*done/);
      }),
  );
});

describe("an idle connection of a listener whose idle timeout changes", () => {
  it("is kept for as long as callers are told now", async () => {
    const { port, setIdleTimeout } = await startCallListener();
    const caller = await openKept(port);
    setIdleTimeout(10 * TIMEOUT_MS);
    await sleep(8 * TIMEOUT_MS);
    caller.socket.write(REQUEST);
    await assertAnswered(caller);
  });

  it("is closed after a shorter one, but not before that has passed", async () => {
    const { port, setIdleTimeout } = await startCallListener(30_000);
    const [unused, used] = [await openKept(port), await openKept(port)];
    await sleep(2 * TIMEOUT_MS);
    setIdleTimeout(TIMEOUT_MS);
    await sleep(TIMEOUT_MS);
    used.socket.write(REQUEST);
    await assertAnswered(used);
    assert.notEqual(
      await Promise.race([unused.awaitEnd(), sleep(CLOSED_AFTER_MS, false)]),
      false,
    );
  });
});
