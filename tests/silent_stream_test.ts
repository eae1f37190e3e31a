// What a caller saw: its stream ended in the middle. Its engine had paused for over a
// second, a prompt of others before it; the instance took it for gone, left it, and the
// engine that was to go on shed the call. The evidence: the first engine's run ended as
// cut off 2.1 s after it began, 40 ms before the other answered 503 without running it.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRequest, startGateway } from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";

/** Pause of the stream, in milliseconds: longer than the silence that tells a server gone. */
const PAUSE_MS = 1_800;

const HEAD = [
  "HTTP/1.1 200 OK",
  "X-Havenspur-Attempt-Id: c1",
  "X-Havenspur-Response-Signature: sig",
  "Content-Type: text/event-stream",
  "Transfer-Encoding: chunked",
  "",
  "",
].join("\r\n");
const SHED = [
  "HTTP/1.1 503 Service Unavailable",
  "X-Havenspur-Attempt-Id: c1",
  "X-Havenspur-Not-Executed: true",
  "Content-Length: 0",
  "",
  "",
].join("\r\n");

function createEvent(id: number): string {
  const event = `id: ${id}\ndata: token ${id}\n\n`;
  return `${event.length.toString(16)}\r\n${event}\r\n`;
}

describe("a stream that pauses and may be resumed", () => {
  it("ends whole where no other server takes it on", async () => {
    const startServer = () =>
      startRawServer((request, socket) => {
        if (findHeader(request, "last-event-id") !== undefined) {
          socket.write(SHED);
          return;
        }
        socket.write(HEAD + createEvent(1));
        setTimeout(() => {
          socket.write(`${createEvent(2)}0\r\n\r\n`);
        }, PAUSE_MS);
      });
    const servers = await Promise.all([startServer(), startServer()]);
    const [s1, s2] = servers.map(({ address }) => address);
    const gateway = await startGateway({
      routes: [{
        prefix: "/a/",
        kind: "streaming",
        resumable: true,
        maxAttempts: 2,
      }],
      servers: { s1: s1!, s2: s2! },
    });
    const caller = await openRawCaller(gateway.port, gateway.host);
    caller.socket.write(
      createRequest("/a/x", {
        method: "POST",
        body: "prompt",
        headers: ["Connection: close"],
      }),
    );
    const answer = await caller.awaitEnd();
    gateway.close();
    servers.forEach((server) => server.close());
    assert.match(answer, /token 2\n\n\r\n0\r\n\r\n$/);
  });
});
