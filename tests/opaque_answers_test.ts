import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import {
  createAnswer,
  createRequest,
  type GatewayFixture,
  startGateway,
} from "./http_gateway_fixture.ts";
import {
  findHeader,
  openRawCaller,
  type RawServer,
  startRawServer,
} from "./raw_http.ts";

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

type RequestHandler = Parameters<typeof startRawServer>[0];
type RouteKind = "safe" | "unsafe" | "streaming";

interface TestSetup {
  readonly gateway: GatewayFixture;
  readonly server: RawServer;
}

async function start(
  handleRequest: RequestHandler,
  route: { readonly kind?: RouteKind; readonly timeoutMs?: number } = {},
  limits: Readonly<Record<string, number>> = {},
): Promise<TestSetup> {
  const server = await startRawServer(handleRequest);
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", ...route }],
    servers: { s1: server.address },
    limits,
  });
  CLEAN_UPS.push(() => gateway.close(), () => server.close());
  return { gateway, server };
}

/** Sends one request on a connection of its own and returns all bytes of the answer. */
async function sendOnce(
  { gateway }: Pick<TestSetup, "gateway">,
  request: string,
): Promise<string> {
  const caller = await openRawCaller(gateway.port);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(request.replace("\r\n", "\r\nConnection: close\r\n"));
  return await caller.awaitEnd();
}

function readStatus(answer: string): string {
  return answer.split(" ")[1] ?? "";
}

function readBody(answer: string): string {
  return answer.slice(answer.indexOf("\r\n\r\n") + 4);
}

describe("an answer", () => {
  it("keeps its status, headers, repeated headers, signature and body", async () => {
    const setup = await start((_, socket) =>
      socket.write(
        createAnswer("c1", "whole", ["X-Odd: One", "X-Odd: two", "ETag: W/7"])
          .replace("200 OK", "203 Own Words"),
      )
    );
    const answer = await sendOnce(setup, createRequest("/a/x?y=1%2F2"));
    assert.match(answer, /^HTTP\/1\.1 203 Own Words\r\n/);
    assert.match(answer, /X-Odd: One\r\nX-Odd: two\r\n/);
    assert.match(answer, /X-Havenspur-Response-Signature: sig\r\n/);
    assert.equal(readBody(answer), "whole");
    assert.match(setup.server.requests[0]!, /^GET \/a\/x\?y=1%2F2 HTTP/);
  });

  it("to HEAD has no body, and keeps its length", async () => {
    const setup = await start((_, socket) =>
      socket.write(createAnswer("c1", "whole").replace("whole", ""))
    );
    const answer = await sendOnce(
      setup,
      createRequest("/a/x", { method: "HEAD" }),
    );
    assert.match(answer, /Content-Length: 5\r\n/);
    assert.equal(readBody(answer), "");
  });

  it("is sent without the interim answers before it", async () => {
    const setup = await start((_, socket) =>
      socket.write(
        "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
          createAnswer("c1", "whole"),
      )
    );
    const answer = await sendOnce(setup, createRequest("/a/x"));
    assert.equal(readStatus(answer), "200");
    assert.equal(readBody(answer), "whole");
  });

  it("keeps its trailers", async () => {
    const setup = await start((_, socket) =>
      socket.write(
        createAnswer("c1", "").replace(
          "Content-Length: 0\r\n",
          "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n",
        ) + "5\r\nwhole\r\n0\r\nX-Sum: 9\r\n\r\n",
      )
    );
    const answer = await sendOnce(setup, createRequest("/a/x"));
    assert.match(answer, /whole\r\n0\r\nX-Sum: 9\r\n\r\n$/);
  });

  describe("that ends early", () => {
    it("is recognizably incomplete when it has a length", async () => {
      const setup = await start((_, socket) => {
        const answer = createAnswer("c1", "0123456789");
        socket.write(answer.slice(0, -4), () => socket.destroy());
      });
      const answer = await sendOnce(setup, createRequest("/a/x"));
      assert.notEqual(readBody(answer), "0123456789");
      const isRefused = readStatus(answer) === "502";
      assert.ok(isRefused || readBody(answer) === "012345");
    });

    it("is recognizably incomplete when it is chunked", async () => {
      const setup = await start((_, socket) => {
        const head = createAnswer("c1", "").replace(
          "Content-Length: 0\r\n",
          "Transfer-Encoding: chunked\r\n",
        );
        socket.write(`${head}5\r\nwhole\r\n`, () => socket.destroy());
      });
      const answer = await sendOnce(setup, createRequest("/a/x"));
      assert.doesNotMatch(answer, /\r\n0\r\n\r\n$/);
    });

    // libuv reports a reset that arrives with the last bytes as a normal end.
    [0, 20].forEach((pauseMs) => {
      it(`is recognizably incomplete when it has no length and its connection is reset after ${pauseMs} ms`, async () => {
        const setup = await start((_, socket) => {
          const head = createAnswer("c1", "").replace(
            "Content-Length: 0\r\n",
            "Connection: close\r\n",
          );
          socket.write(`${head}who`, () => {
            if (pauseMs === 0) socket.resetAndDestroy();
            else setTimeout(() => socket.resetAndDestroy(), pauseMs);
          });
        });
        const answer = await sendOnce(setup, createRequest("/a/x"));
        assert.doesNotMatch(answer, /\r\n0\r\n\r\n$/);
      });
    });
  });

  it("that breaks off after its first bytes is not completed by another server", async () => {
    const answerThenReset = (bytes: string) => (_: string, socket: Socket) => {
      const head = createAnswer("c1", "").replace(
        "Content-Length: 0\r\n",
        "Connection: close\r\n",
      );
      socket.write(
        head + bytes,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    };
    const servers = await Promise.all(
      ["first", "other"].map((bytes) => startRawServer(answerThenReset(bytes))),
    );
    const gateway = await startGateway({
      routes: [{ prefix: "/a/", kind: "safe", maxAttempts: 2 }],
      servers: { s1: servers[0]!.address, s2: servers[1]!.address },
    });
    CLEAN_UPS.push(
      () => gateway.close(),
      ...servers.map((server) => () => server.close()),
    );
    const received = await sendOnce({ gateway }, createRequest("/a/x"));
    assert.ok(!(received.includes("first") && received.includes("other")));
    const sent = servers.flatMap(({ requests }) => requests).length;
    assert.equal(sent, 1);
  });

  it("comes from another server when the first one stays silent and the call may be retried", async () => {
    const silent = await startRawServer(() => {});
    const sound = await startRawServer((_, socket) =>
      socket.write(createAnswer("c1", "sound"))
    );
    const gateway = await startGateway({
      routes: [{ prefix: "/a/", kind: "safe", maxAttempts: 2, targetMs: 100 }],
      servers: { s1: silent.address, s2: sound.address },
    });
    CLEAN_UPS.push(
      () => gateway.close(),
      () => silent.close(),
      () => sound.close(),
    );
    // Whichever server gets a call first, both callers receive the healthy server's answer.
    for (const callId of ["c1", "c1"]) {
      const answer = await sendOnce(
        { gateway },
        createRequest("/a/x", { callId }),
      );
      assert.equal(readBody(answer), "sound");
    }
  });

  describe("that cannot be trusted", () => {
    const untrusted: readonly (readonly [string, string])[] = [
      [
        "without a signature",
        createAnswer("c1", "x").replace(/X-Havenspur-Response.*\r\n/, ""),
      ],
      ["of another call", createAnswer("other", "x")],
      [
        "with a content-encoded body",
        createAnswer("c1", "x", ["Content-Encoding: gzip"]),
      ],
      ["that is not HTTP", "\u0001\u0002garbage\r\n\r\n"],
      [
        "with status 503 but without the server's statement that the call did not run",
        createAnswer("c1", "x").replace("200 OK", "503 Full"),
      ],
    ];
    untrusted.forEach(([what, bytes]) => {
      it(`${what} is replaced by a 502 for a call that may not be retried`, async () => {
        const setup = await start((_, socket) => socket.write(bytes), {
          kind: "unsafe",
        });
        const answer = await sendOnce(
          setup,
          createRequest("/a/x", { method: "POST", body: "b" }),
        );
        assert.equal(readStatus(answer), "502");
        assert.doesNotMatch(answer, /Signature/i);
        assert.equal(setup.server.requests.length, 1);
      });
    });
  });

  it("is not mixed with bytes that follow an earlier answer", async () => {
    let count = 0;
    const setup = await start((request, socket) => {
      const callId = findHeader(request, "x-havenspur-attempt-id")!;
      const extra = count++ === 0 ? createAnswer("c1", "again") : "";
      socket.write(createAnswer(callId, `for ${callId}`) + extra);
    });
    const first = await sendOnce(setup, createRequest("/a/x"));
    assert.equal(readBody(first), "for c1");
    const second = await sendOnce(
      setup,
      createRequest("/a/x", { callId: "c2" }),
    );
    assert.equal(readBody(second), "for c2");
  });

  it("of a server that did not run the call is a 503 with Retry-After", async () => {
    const setup = await start((_, socket) =>
      socket.write(
        "HTTP/1.1 503 Full\r\nX-Havenspur-Attempt-Id: c1\r\nX-Havenspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      ), { kind: "unsafe" });
    const answer = await sendOnce(
      setup,
      createRequest("/a/x", { method: "POST", body: "b" }),
    );
    assert.equal(readStatus(answer), "503");
    assert.match(answer, /Retry-After: \d/);
  });

  it("to a failed call that may not be retried is passed on unchanged", async () => {
    const setup = await start((_, socket) =>
      socket.write(
        createAnswer("c1", "failed").replace("200 OK", "500 Own Error"),
      ), { kind: "unsafe" });
    const answer = await sendOnce(
      setup,
      createRequest("/a/x", { method: "POST", body: "b" }),
    );
    assert.match(answer, /^HTTP\/1\.1 500 Own Error/);
    assert.match(answer, /Signature: sig/);
  });

  it("is a 504 once the route's timeout has passed", async () => {
    const setup = await start(() => {}, { timeoutMs: 60 });
    const answer = await sendOnce(setup, createRequest("/a/x"));
    assert.equal(readStatus(answer), "504");
  });
});

describe("a call", () => {
  it("reaches the server with its body unchanged when it is chunked", async () => {
    const setup = await start((_, socket) =>
      socket.write(createAnswer("c1", "ok"))
    );
    const answer = await sendOnce(
      setup,
      createRequest("/a/x", {
        method: "POST",
        headers: ["Transfer-Encoding: chunked"],
      }) + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    );
    assert.equal(readStatus(answer), "200");
    const [request] = setup.server.requests;
    assert.match(request!, /content-length: 5\r\n/i);
    assert.ok(request!.endsWith("abcde"));
  });

  it("is sent with the expected server and the remaining time, without forged gateway headers", async () => {
    const setup = await start((_, socket) =>
      socket.write(createAnswer("c1", "ok"))
    );
    await sendOnce(
      setup,
      createRequest("/a/x", {
        headers: [
          "X-Havenspur-Deadline-Remaining: 900",
          "X-Havenspur-Expected-Instance: forged",
          "X-Havenspur-Hold: forged",
          "X-Havenspur-Pin-Duration: 1",
          "X-Havenspur-Key-Value-Backup: 1.2.3.4:5",
          "Kv-From: 1.2.3.4:5/h",
          "havenspur-hop: forged 1 1",
        ],
      }),
    );
    const request = setup.server.requests[0]!;
    assert.equal(findHeader(request, "x-havenspur-expected-instance"), "s1");
    const left = Number(findHeader(request, "x-havenspur-deadline-remaining"));
    assert.ok(left > 0 && left <= 900);
    assert.doesNotMatch(request, /forged|Pin-Duration|Backup|Kv-From/i);
  });

  it("loses headers that Connection lists, except those of the gateway's protocol", async () => {
    const setup = await start((_, socket) =>
      socket.write(createAnswer("c1", "ok"))
    );
    const caller = await openRawCaller(setup.gateway.port);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(
      createRequest("/a/x", {
        headers: [
          "Connection: x-private, x-havenspur-model",
          "X-Private: p",
          "X-Havenspur-Model: m",
          "X-Public: q",
        ],
      }),
    );
    await caller.awaitText("ok");
    const request = setup.server.requests[0]!;
    assert.equal(findHeader(request, "x-private"), undefined);
    assert.equal(findHeader(request, "x-havenspur-model"), "m");
    assert.equal(findHeader(request, "x-public"), "q");
  });

  it("is sent with an intact body to a server that answers before reading all of it", async () => {
    const body = "b".repeat(300_000);
    let received = "";
    const slow = createServer((socket) => {
      let hasAnswered = false;
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        received += chunk.toString("latin1");
        if (hasAnswered) return;
        hasAnswered = true;
        socket.write(createAnswer("c1", "early"));
      });
    }).listen(0, "127.0.0.1");
    await once(slow, "listening");
    const { port } = slow.address() as AddressInfo;
    const gateway = await startGateway({
      routes: [{ prefix: "/a/", kind: "unsafe" }],
      servers: { s1: `127.0.0.1:${port}` },
    });
    CLEAN_UPS.push(() => gateway.close(), () => slow.close());
    const answer = await sendOnce(
      { gateway },
      createRequest("/a/x", { method: "POST", body }),
    );
    assert.equal(readBody(answer), "early");
    // The server must read nothing on this connection but the body or its beginning.
    assert.ok(
      body.startsWith(received.slice(received.indexOf("\r\n\r\n") + 4)),
    );
  });

  describe("with ambiguous or invalid framing", () => {
    const shapes: readonly (readonly [string, readonly string[]])[] = [
      ["by length and chunks", [
        "Content-Length: 3",
        "Transfer-Encoding: chunked",
      ]],
      ["by two lengths", ["Content-Length: 3", "Content-Length: 4"]],
      ["by an unknown coding", ["Transfer-Encoding: chunked, odd"]],
      ["by a length with a sign", ["Content-Length: +3"]],
    ];
    shapes.forEach(([what, headers]) => {
      it(`${what} is refused, and reaches no server`, async () => {
        const setup = await start((_, socket) =>
          socket.write(createAnswer("c1", "ok"))
        );
        const answer = await sendOnce(
          setup,
          createRequest("/a/x", { method: "POST", headers }) +
            "0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n\r\n",
        );
        assert.match(readStatus(answer), /^4/);
        assert.equal(setup.server.requests.length, 0);
      });
    });
  });

  it("is cancelled at the server when its caller disconnects", async () => {
    let onClosed = () => {};
    const closed = new Promise<void>((resolve) => (onClosed = resolve));
    const setup = await start((_, socket) => {
      socket.on("close", onClosed);
      caller.socket.destroy();
    });
    const caller = await openRawCaller(setup.gateway.port);
    caller.socket.write(createRequest("/a/x"));
    await closed;
  });

  it("without a route is answered with 404", async () => {
    const setup = await start(() => {});
    const unrouted = await sendOnce(setup, createRequest("/b/x"));
    assert.equal(readStatus(unrouted), "404");
  });
});

describe("the size limits of requests", () => {
  it("are enforced, and follow the configuration", async () => {
    const setup = await start(
      (_, socket) => socket.write(createAnswer("c1", "ok")),
      {},
      { maxBodyBytes: 10, maxHeaderBytes: 300 },
    );
    const large = createRequest("/a/x", {
      method: "POST",
      body: "b".repeat(20),
    });
    const wide = createRequest("/a/x", {
      headers: [`X-Wide: ${"w".repeat(400)}`],
    });
    assert.equal(readStatus(await sendOnce(setup, large)), "413");
    assert.equal(readStatus(await sendOnce(setup, wide)), "431");
    setup.gateway.configure(2, {
      limits: { maxBodyBytes: 30, maxHeaderBytes: 900 },
    });
    assert.equal(readStatus(await sendOnce(setup, large)), "200");
    assert.equal(readStatus(await sendOnce(setup, wide)), "200");
  });

  it("are enforced for a chunked body", async () => {
    const setup = await start(
      (_, socket) => socket.write(createAnswer("c1", "ok")),
      {},
      { maxBodyBytes: 10 },
    );
    const answer = await sendOnce(
      setup,
      createRequest("/a/x", {
        method: "POST",
        headers: ["Transfer-Encoding: chunked"],
      }) + `14\r\n${"b".repeat(20)}\r\n0\r\n\r\n`,
    );
    assert.equal(readStatus(answer), "413");
    assert.equal(setup.server.requests.length, 0);
  });
});
