import assert from "node:assert/strict";
import { it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSilentLogger } from "../logs/mod.ts";
import { openRawCaller } from "../tests/raw_http.ts";
import { startEndpointServer, toJsonAnswer } from "./endpoint_server.ts";

const HOST = "127.0.0.1";
/** Size of a body, in bytes, beyond what these routes read. */
const LONG_BYTES = 100_000;

// The connection of a call with a long body was closed without an answer.
it("startEndpointServer() refuses a call with a long body with an answer", async () => {
  const server = await startEndpointServer({
    host: HOST,
    port: 0,
    logger: createSilentLogger(),
    routes: [{
      method: "POST",
      path: "/a",
      handle: () => toJsonAnswer(200, {}),
    }],
  });
  const caller = await openRawCaller(server.port, HOST);
  const head = "POST /a HTTP/1.1\r\nHost: a.example\r\n";
  caller.socket.write(
    `${head}Content-Length: ${LONG_BYTES}\r\n\r\n${"x".repeat(LONG_BYTES)}`,
  );
  const received = await caller.awaitEnd();
  server.close();
  assert.match(received, /^HTTP\/1\.1 413 /);
});

// The refusal of the bytes took the place of the answer.
it("startEndpointServer() answers a call behind which bytes arrive that are not HTTP", async () => {
  const server = await startEndpointServer({
    host: HOST,
    port: 0,
    logger: createSilentLogger(),
    routes: [{
      method: "GET",
      path: "/a",
      handle: async () => {
        await sleep(20);
        return toJsonAnswer(200, {});
      },
    }],
  });
  const caller = await openRawCaller(server.port, HOST);
  caller.socket.write(
    "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n\u0001 nothing\r\n\r\n",
  );
  const received = await caller.awaitEnd();
  server.close();
  assert.match(received, /^HTTP\/1\.1 200 /);
  assert.doesNotMatch(received, / 400 /);
});
