import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { CallListener } from "../adapters/call_listener.ts";
import {
  startEndpointServer,
  toJsonAnswer,
} from "../adapters/endpoint_server.ts";
import {
  DEFAULT_LISTENER_LIMITS,
  startListener,
} from "../adapters/http_listener.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { CarriedWork } from "../capacity/mod.ts";
import { waitFor } from "../clock/mod.ts";
import { toRefusal } from "../filters/mod.ts";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { measureHeapBytes } from "./measure_heap.ts";
import { waitUntil } from "./wait_until.ts";

const HOST = "127.0.0.1";
const BODY_BYTES = 4_000_000;
const CHUNK_BYTES = 64;
const CHUNKS_PER_WRITE = 500;
/** Bodies are held in blocks; the connection and its parser need some more. */
const MAX_GROWTH_BYTES = BODY_BYTES + 1_000_000;
const SMALL_BODY_BYTES = 60_000;
const MAX_SMALL_GROWTH_BYTES = 4 * SMALL_BODY_BYTES;
const CONNECTIONS = 10;
/** Time in which a small body is read, in milliseconds. */
const READ_MS = 500;

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Size of a body and of its chunks. */
interface Upload {
  readonly bodyBytes: number;
  readonly chunkBytes: number;
}

/** Opens a connection, and sends a body in small chunks without the last one. */
async function uploadAllButEnd(
  port: number,
  { bodyBytes, chunkBytes }: Upload = {
    bodyBytes: BODY_BYTES,
    chunkBytes: CHUNK_BYTES,
  },
): Promise<Socket> {
  const socket = connect(port, HOST);
  CLEAN_UPS.push(() => socket.destroy());
  await once(socket, "connect");
  socket.write(
    "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const chunks = Buffer.from(chunk.repeat(CHUNKS_PER_WRITE));
  const writeBytes = CHUNKS_PER_WRITE * chunkBytes;
  for (let left = bodyBytes; left > 0; left -= writeBytes) {
    if (!socket.write(chunks)) await once(socket, "drain");
  }
  return socket;
}

describe("a body sent to one of the small routes in chunks of one byte", () => {
  // A list of the chunks took some 250 bytes for each, on any number of connections.
  it("takes little more memory than its bytes", async () => {
    const server = await startEndpointServer({
      host: HOST,
      port: 0,
      routes: [{
        method: "POST",
        path: "/a",
        handle: ({ body }) => toJsonAnswer(200, body.length),
      }],
      logger: createSilentLogger(),
    });
    CLEAN_UPS.push(() => server.close());
    const upload = { bodyBytes: SMALL_BODY_BYTES, chunkBytes: 1 };
    const finish = async (socket: Socket) => {
      socket.write("0\r\n\r\n");
      const [answer] = await once(socket, "data");
      return String(answer);
    };
    // The first one creates what all connections share.
    await finish(await uploadAllButEnd(server.port, upload));
    const before = measureHeapBytes();
    const sockets = await Promise.all(
      Array.from(
        { length: CONNECTIONS },
        () => uploadAllButEnd(server.port, upload),
      ),
    );
    await waitUntil(() =>
      sockets.every(({ writableLength }) => writableLength === 0)
    );
    await waitFor(systemClock, READ_MS);
    const bytesEach = (measureHeapBytes() - before) / CONNECTIONS;
    assert.ok(bytesEach < MAX_SMALL_GROWTH_BYTES, `${bytesEach} bytes`);
    assert.match(
      await finish(sockets[0]!),
      new RegExp(`\r\n\r\n${SMALL_BODY_BYTES}$`),
    );
  });
});

describe("a body of a plain HTTP call in chunks of 64 bytes", () => {
  // A list of the chunks took five times the bytes, and a burst of uploads filled the heap.
  it("takes little more memory than its bytes, and is passed on whole", async () => {
    const work = new CarriedWork({});
    let receivedBytes = 0;
    const listener = new CallListener({
      host: HOST,
      port: 0,
      logger: createSilentLogger(),
      nowMs: () => 0,
      readLoopDelayMs: () => 0,
      readOrigin: () => ({ kind: "caller" }),
      work,
      handle: ({ body }) => {
        receivedBytes = body.length;
        return Promise.resolve();
      },
    });
    listener.setLimits({ ...INITIAL_LIMITS, maxBodyBytes: BODY_BYTES });
    CLEAN_UPS.push(() => listener.destroy());
    const port = await listener.open();
    const before = measureHeapBytes();
    const socket = await uploadAllButEnd(port);
    await waitUntil(() => work.bodyBytes === BODY_BYTES);
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
    socket.write("0\r\n\r\n");
    await waitUntil(() => receivedBytes === BODY_BYTES);
  });
});

describe("a body of an OpenAI-compatible request in chunks of 64 bytes", () => {
  const start = async (work: CarriedWork) => {
    const received: (number | string)[] = [];
    const listener = await startListener({
      address: `${HOST}:0`,
      limits: { ...DEFAULT_LISTENER_LIMITS, maxBodyBytes: BODY_BYTES },
      logger: createSilentLogger(),
      work,
      handle: async ({ readBody }) => {
        const body = await readBody();
        received.push(body.isOk() ? body.value.length : body.error.name);
        return body.isOk()
          ? { kind: "whole", status: 200, headers: {}, body: "read" }
          : toRefusal(body.error);
      },
    });
    CLEAN_UPS.push(() => void listener.destroy());
    return { port: listener.port, received };
  };

  // A list of the chunks took five times the bytes.
  it("takes little more memory than its bytes, and is passed on whole", async () => {
    const work = new CarriedWork({});
    const { port, received } = await start(work);
    const before = measureHeapBytes();
    const socket = await uploadAllButEnd(port);
    await waitUntil(() => work.bodyBytes === BODY_BYTES);
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
    socket.write("0\r\n\r\n");
    await waitUntil(() => received[0] === BODY_BYTES && work.bodyBytes === 0);
  });

  // Bodies of any number of requests were held at a time.
  it("is refused as not run while the memory for bodies is taken", async () => {
    const work = new CarriedWork({ memoryMb: 101 });
    const { port, received } = await start(work);
    const upload = { bodyBytes: 192_000, chunkBytes: CHUNK_BYTES };
    const first = await uploadAllButEnd(port, upload);
    await waitUntil(() => work.bodyBytes === upload.bodyBytes);
    const second = await uploadAllButEnd(port, upload);
    const [answer] = await once(second, "data");
    assert.match(String(answer), /^HTTP\/1\.1 503 [^]*x-ran: not-run/);
    first.write("0\r\n\r\n");
    await waitUntil(() => received.includes(upload.bodyBytes));
    await waitUntil(() => work.bodyBytes === 0);
  });

  // Lists of many short values took up to 28 times their text in the heap.
  it("counts what its JSON takes once it is parsed", async () => {
    const { port, received } = await start(new CarriedWork({ heapMb: 1 }));
    const sendJson = async (text: string) => {
      const socket = connect(port, HOST);
      CLEAN_UPS.push(() => socket.destroy());
      await once(socket, "connect");
      socket.write(
        "POST /a HTTP/1.1\r\nHost: a.example\r\n" +
          `Content-Length: ${text.length}\r\n\r\n${text}`,
      );
      return String((await once(socket, "data"))[0]);
    };
    const answer = await sendJson(`[${"[],".repeat(5_000)}0]`);
    assert.match(answer, /^HTTP\/1\.1 503 [^]*x-ran: not-run/);
    const text = `["${"a".repeat(15_000)}"]`;
    assert.match(await sendJson(text), /^HTTP\/1\.1 200 /);
    assert.deepEqual(received, ["OVERLOADED", text.length]);
  });
});
