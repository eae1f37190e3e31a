import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import { readAnswer, readWholeLines } from "../adapters/read_answer.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import type { BackendCall } from "../engine/mod.ts";
import { toAttemptId, toBackendId } from "../ids/mod.ts";
import { measureHeapBytes } from "./measure_heap.ts";
import { startRawServer } from "./raw_http.ts";

const PIECES = 300_000;
const MAX_GROWTH_BYTES = 3_000_000;
const MAX_READ_AHEAD_BYTES = 1_500_000;
/** Time in which the pieces are sent and read, in milliseconds. */
const SEND_MS = 1_500;

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Starts a server that sends a head and then single bytes, each a chunk of its own. */
async function startServer(contentType: string, piece = "x") {
  const sockets: Socket[] = [];
  const server = await startRawServer((_, socket) => {
    sockets.push(socket);
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Type: ${contentType}\r\n` +
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    socket.write(`1\r\n${piece}\r\n`.repeat(PIECES));
  });
  CLEAN_UPS.push(server.close);
  const client = new HttpBackendClient();
  CLEAN_UPS.push(() => void client.close());
  const call = {
    server: { id: toBackendId("e1"), url: `http://${server.address}` },
    attempt: toAttemptId("a1"),
    method: "GET",
    path: "/a",
    headers: {},
  } as unknown as BackendCall;
  const dispatch = () => client.dispatch(call, new AbortController().signal);
  return { dispatch, sockets };
}

async function* yieldPieces(...pieces: readonly string[]) {
  for (const piece of pieces) yield await Promise.resolve(Buffer.from(piece));
}

describe("HttpBackendClient with an answer in chunks of one byte", () => {
  // A list of the chunks took over a hundred times the bytes.
  it("holds a whole answer in little more memory than its bytes", async () => {
    const { dispatch, sockets } = await startServer("text/plain");
    const before = measureHeapBytes();
    const answer = dispatch();
    await waitFor(systemClock, SEND_MS);
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
    sockets[0]!.write("0\r\n\r\n");
    const whole = (await answer)._unsafeUnwrap();
    assert.ok(whole.kind === "whole");
    assert.equal(whole.body.length, PIECES);
  });

  // 64 KB of chunks were read ahead of a caller that reads slowly.
  it("reads little of a stream ahead of its caller", async () => {
    const { dispatch } = await startServer("text/event-stream");
    const before = measureHeapBytes();
    const stream = (await dispatch())._unsafeUnwrap();
    await waitFor(systemClock, SEND_MS);
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_READ_AHEAD_BYTES, `${growthBytes} bytes`);
    assert.ok(stream.kind === "stream");
    void stream.events[Symbol.asyncIterator]().return?.();
  });
});

describe("readAnswer()", () => {
  it("rejects a body that is over its maximum", async () => {
    assert.equal(String(await readAnswer(yieldPieces("ab", "c"), 3)), "abc");
    await assert.rejects(readAnswer(yieldPieces("ab", "cd"), 3), /over 3 byt/);
  });
});

describe("readWholeLines()", () => {
  it("yields bytes up to the end of a line, and rejects a line over its maximum", async () => {
    const texts: string[] = [];
    const lines = readWholeLines(yieldPieces("a", "b\nc", "\r", "d", "e"), 3);
    for await (const bytes of lines) texts.push(String(bytes));
    assert.deepEqual(texts, ["ab\n", "c\r"]);
    await assert.rejects(
      readWholeLines(yieldPieces("ab", "cd"), 3).next(),
      /over 3 bytes/,
    );
  });
});
