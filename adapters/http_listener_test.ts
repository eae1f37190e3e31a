import assert from "node:assert/strict";
import { request as requestTls } from "node:https";
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ok } from "neverthrow";
import { generate } from "selfsigned";
import { CarriedWork } from "../capacity/mod.ts";
import type { GatewayRequest, Reply } from "../filters/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { CLEAN_UPS } from "../tests/clean_ups.ts";
import { disconnectBeforeAccept } from "../tests/block_event_loop.ts";
import { openRawCaller } from "../tests/raw_http.ts";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { awaitAnswer } from "../tests/received_answer.ts";
import { waitUntil } from "../tests/wait_until.ts";
import {
  DEFAULT_LISTENER_LIMITS,
  startListener,
  type TlsCertificates,
} from "./http_listener.ts";

async function createCertificate(name: string): Promise<TlsCertificates> {
  const certificate = await generate([{ name: "commonName", value: name }], {
    keySize: 2048,
  });
  return { cert: certificate.cert, key: certificate.private };
}

function createReply(reply: string): Reply {
  return { kind: "whole", status: 200, headers: {}, body: reply };
}

interface TlsAnswer {
  readonly text: string;
  readonly name: string;
}

function requestOverTls(port: number): Promise<TlsAnswer> {
  return new Promise((resolve, reject) => {
    const request = requestTls({
      host: "127.0.0.1",
      port,
      rejectUnauthorized: false,
      agent: false,
    });
    request.on("error", reject);
    request.on("response", (response) => {
      const socket = response.socket as import("node:tls").TLSSocket;
      const name = String(socket.getPeerCertificate().subject.CN);
      let text = "";
      response.on("data", (chunk: Buffer) => (text += chunk.toString()));
      response.on("end", () => resolve({ text, name }));
      response.on("error", reject);
    });
    request.end();
  });
}

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

describe("startListener()", () => {
  // With the end of the connection as its end, the loss of the instance looked like one.
  it("sends an answer that may have been cut with its length, and says so in a header", async () => {
    const listener = await startListener({
      address: "127.0.0.1:0",
      limits: DEFAULT_LISTENER_LIMITS,
      logger: createSilentLogger(),
      handle: () =>
        Promise.resolve({ ...createReply("whole?"), mayBeCut: true }),
    });
    const caller = await openRawCaller(listener.port, "127.0.0.1");
    caller.socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    const answer = await awaitAnswer(caller);
    await listener.close();
    assert.equal(answer.framing, "length");
    assert.equal(answer.body, "whole?");
    assert.ok(answer.mayBeCut);
  });

  describe("when a caller disconnected before its connection was accepted", () => {
    // An overloaded process accepts late: work for disconnected callers delays the others.
    it("does not handle its request", async () => {
      let calls = 0;
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        handle: () => {
          calls++;
          return Promise.resolve(createReply("done"));
        },
      });
      const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
      await disconnectBeforeAccept(listener.port, "127.0.0.1", request);
      await new Promise((resolve) => setTimeout(resolve, 100));
      await listener.close();
      assert.equal(calls, 0);
    });
  });

  describe("when certificates are reloaded", () => {
    it("uses the new one for new connections, and aborts no request", async () => {
      let release = () => {};
      const released = new Promise<void>((resolve) => (release = resolve));
      let isWaiting = () => {};
      const waiting = new Promise<void>((resolve) => (isWaiting = resolve));
      let calls = 0;
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        tls: await createCertificate("first"),
        handle: async () => {
          calls++;
          if (calls > 1) return createReply("quick");
          isWaiting();
          await released;
          return createReply("held");
        },
      });
      const slow = requestOverTls(listener.port);
      await waiting;
      listener.setTls(await createCertificate("second"));
      assert.deepEqual(await requestOverTls(listener.port), {
        text: "quick",
        name: "second",
      });
      release();
      assert.deepEqual(await slow, { text: "held", name: "first" });
      await listener.close();
    });
  });

  describe("when a sender is slow", () => {
    it("refuses a body that does not arrive in time, and closes the connection", async () => {
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: { ...DEFAULT_LISTENER_LIMITS, bodyTimeoutMs: 50 },
        logger: createSilentLogger(),
        handle: async (request: GatewayRequest) => {
          const body = await request.readBody();
          return createReply(body.isOk() ? "read" : body.error.name);
        },
      });
      const text = await new Promise<string>((resolve) => {
        const socket = connect(listener.port, "127.0.0.1");
        let received = "";
        socket.on("data", (chunk) => (received += chunk.toString()));
        socket.on("close", () => resolve(received));
        socket.write(
          "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nslow",
        );
      });
      assert.match(text, /BODY_TIMEOUT/);
      assert.match(text, /connection: close/i);
      await listener.destroy();
    });
  });

  describe("when a caller disconnects before its stream starts", () => {
    it("runs the `finally` block of the stream", async () => {
      let isCleaned = false;
      async function* produce() {
        try {
          await Promise.resolve();
          yield { data: "x" };
        } finally {
          isCleaned = true;
        }
      }
      let arrive = () => {};
      const arrived = new Promise<void>((resolve) => (arrive = resolve));
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        handle: async ({ signal }) => {
          arrive();
          await new Promise((resolve) =>
            signal.addEventListener("abort", resolve)
          );
          return { kind: "events", headers: {}, events: produce() };
        },
      });
      const socket = connect(listener.port, "127.0.0.1");
      socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
      await arrived;
      socket.destroy();
      while (!isCleaned) await new Promise((resolve) => setTimeout(resolve, 5));
      await listener.destroy();
    });
  });

  describe("when a reader is slow", () => {
    it("logs that its connection is cut if it reads too slowly when the listener closes", async () => {
      const { lines, logger } = createRecordingLogger();
      const reply = createReply("x".repeat(16_000_000));
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger,
        handle: () => Promise.resolve(reply),
      });
      const caller = await openRawCaller(listener.port, "127.0.0.1");
      caller.socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
      await caller.awaitText("200 OK");
      caller.socket.pause();
      await listener.close();
      assert.match(lines.join(), /connections cut.*"connections":1/);
      caller.socket.destroy();
    });

    it("sends the rest of an answer that it still reads when the listener closes", async () => {
      const reply = createReply("x".repeat(16_000_000));
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        handle: () => Promise.resolve(reply),
      });
      const caller = await openRawCaller(listener.port, "127.0.0.1");
      caller.socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
      await caller.awaitText("200 OK");
      caller.socket.pause();
      const closed = listener.close();
      await new Promise((resolve) => setTimeout(resolve, 100));
      caller.socket.resume();
      assert.equal((await caller.awaitEnd()).split("x").length, 16_000_001);
      await closed;
    });

    it("pauses the stream: the source produces no more than the buffers hold", async () => {
      const chunk = "x".repeat(64_000);
      let produced = 0;
      async function* produce() {
        for (; produced < 5_000; produced++) {
          await Promise.resolve();
          yield { data: chunk };
        }
      }
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        handle: async () => {
          const body = ok<Reply, never>({
            kind: "events",
            headers: {},
            events: produce(),
          });
          return await Promise.resolve(body.value);
        },
      });
      const socket = connect(listener.port, "127.0.0.1");
      socket.pause();
      socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
      // Waits until the source is paused because the buffers of both ends are full.
      let before = -1;
      while (produced === 0 || produced !== before) {
        before = produced;
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
      assert.ok(produced < 1_000, `${produced} of 5000 chunks were made`);
      socket.destroy();
      await listener.destroy();
    });
  });

  describe("when more bytes follow a request on its connection", () => {
    const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    const startHeld = async () => {
      const work = new CarriedWork({});
      const signals: AbortSignal[] = [];
      const answers: (() => void)[] = [];
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        work,
        handle: ({ signal }) => {
          signals.push(signal);
          return new Promise((resolve) =>
            answers.push(() => resolve(createReply("whole")))
          );
        },
      });
      CLEAN_UPS.push(() => void listener.destroy());
      const caller = await openRawCaller(listener.port, "127.0.0.1");
      CLEAN_UPS.push(() => caller.socket.destroy());
      return { answers, caller, signals, work };
    };

    // They were refused as "not-run" in place of the answer to the request, which ran.
    it("answers the request, and refuses nothing", async () => {
      const { answers, caller } = await startHeld();
      caller.socket.write(REQUEST + "\u0001\u0002 nothing\r\n\r\n");
      await waitUntil(() => answers.length > 0);
      await sleep(50);
      answers[0]!();
      const received = await caller.awaitEnd();
      assert.match(received, /^HTTP\/1\.1 200 [^]*whole$/);
    });

    // Their memory was never released, and their work went on without a caller.
    it("ends all requests when the connection breaks", async () => {
      const { answers, caller, signals, work } = await startHeld();
      caller.socket.write(REQUEST + REQUEST);
      await waitUntil(() => answers.length === 2);
      caller.socket.destroy();
      await waitUntil(() => signals.every(({ aborted }) => aborted), 1_000);
      assert.equal(work.calls, 0);
    });
  });

  // A rejection that nobody takes ends the process with all other requests.
  describe("when the handler of a request fails", () => {
    const headers = { "x-name": "\u20ac" };
    const handlers: readonly (readonly [string, () => Promise<Reply>])[] = [
      ["rejects", () => Promise.reject(new Error("a bug"))],
      [
        "returns a header that may not be written",
        () => Promise.resolve({ ...createReply(""), headers }),
      ],
    ];
    for (const [name, handle] of handlers) {
      it(`answers with 500 if it ${name}, and serves the next request`, async () => {
        const listener = await startListener({
          address: "127.0.0.1:0",
          limits: DEFAULT_LISTENER_LIMITS,
          logger: createSilentLogger(),
          handle,
        });
        const caller = await openRawCaller(listener.port, "127.0.0.1");
        const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.socket.write(request + request);
        const received = await caller.awaitText(/ 500 [^]* 500 /);
        caller.socket.destroy();
        await listener.close();
        assert.match(received, /x-ran: unknown/);
      });
    }

    it("breaks off a stream whose events fail", async () => {
      async function* createEvents() {
        yield { id: "1", data: "part" };
        await new Promise((resolve) => setTimeout(resolve, 50));
        throw new Error("a bug");
      }
      const listener = await startListener({
        address: "127.0.0.1:0",
        limits: DEFAULT_LISTENER_LIMITS,
        logger: createSilentLogger(),
        handle: () =>
          Promise.resolve({
            kind: "events",
            headers: {},
            events: createEvents(),
          }),
      });
      const caller = await openRawCaller(listener.port, "127.0.0.1");
      caller.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
      const received = await caller.awaitEnd();
      await listener.close();
      assert.match(received, /data: part/);
      assert.doesNotMatch(received, /\r\n0\r\n\r\n$/);
    });
  });
});
