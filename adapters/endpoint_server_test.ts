import assert from "node:assert/strict";
import { it } from "node:test";
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
