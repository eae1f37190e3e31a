import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Timeout of the route, in milliseconds. Every call has to be answered before. */
const TIMEOUT_MS = 3_000;

/** Answers whose bytes a client reads, but that not every server may write. */
const ANSWERS: readonly (readonly [name: string, answer: string])[] = [
  ...["O\x01K", "\x7f", "", "caf\xe9", "a\tb"].flatMap((text) =>
    [
      [
        `the status text ${JSON.stringify(text)}`,
        createAnswer("c1", "whole").replace("200 OK", `200 ${text}`),
      ],
      [
        `the status text ${JSON.stringify(text)} and no body`,
        createAnswer("c1", "").replace("200 OK", `200 ${text}`),
      ],
    ] as const
  ),
  ...["099", "204", "304", "418", "599", "600", "999"].flatMap((status) =>
    [
      [
        `the status ${status}`,
        createAnswer("c1", "whole").replace("200 OK", `${status} X`),
      ],
      [
        `the status ${status} and no body`,
        createAnswer("c1", "").replace("200 OK", `${status} X`),
      ],
    ] as const
  ),
  ...["X: \x01", "X: caf\xe9", "X\x01: 1", "X: \xe2\x82\xac", "X:"].map((
    line,
  ) =>
    [
      `the header ${JSON.stringify(line)}`,
      createAnswer("c1", "whole", [line]),
    ] as const
  ),
  ...["X: \x01", "X: caf\xe9", "X\x01: 1"].map((line) =>
    [
      `the trailer ${JSON.stringify(line)}`,
      createAnswer("c1", "", ["Transfer-Encoding: chunked", "Trailer: X"])
        .replace("Content-Length: 0\r\n", "") +
      `5\r\nwhole\r\n0\r\n${line}\r\n\r\n`,
    ] as const
  ),
];

for (const kind of ["safe", "unsafe", "streaming"] as const) {
  describe(`a ${kind} call whose server answers with bytes that may not be written`, () => {
    for (const [name, answer] of ANSWERS) {
      it(`ends before its timeout, and the gateway goes on, with ${name}`, async () => {
        const server = await startRawServer((_, socket) =>
          socket.write(answer, "latin1")
        );
        const gateway = await startGateway({
          routes: [{ prefix: "/a/", kind, timeoutMs: TIMEOUT_MS }],
          servers: { s1: server.address },
        });
        CLEAN_UPS.push(() => gateway.close(), () => server.close());
        const caller = await openRawCaller(gateway.port);
        CLEAN_UPS.push(() => caller.socket.destroy());
        const startMs = performance.now();
        caller.socket.write(
          createRequest("/a/x", { headers: ["Connection: close"] }),
        );
        const received = await caller.awaitEnd();
        assert.match(received, /^HTTP\/1\.1 \d{3} /);
        if (name.startsWith("the status text")) {
          assert.match(received, /^HTTP\/1\.1 200 /);
          assert.equal(received.endsWith("whole"), answer.endsWith("whole"));
        }
        assert.ok(performance.now() - startMs < TIMEOUT_MS, received);
      });
    }
  });
}
