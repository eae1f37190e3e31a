import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";
import {
  createFarReport,
  FAR_HOST,
  startTwoRegions,
} from "./two_regions_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

async function sendCall(port: number): Promise<string> {
  const caller = await openRawCaller(port);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(
    createRequest("/a/x", {
      method: "POST",
      body: "payload",
      headers: ["X-Havenspur-Deadline-Remaining: 900", "Connection: close"],
    }),
  );
  return await caller.awaitEnd();
}

describe("a call whose servers are in another region", () => {
  it("takes one hop with its remaining time, and its answer is passed back unchanged", async () => {
    const { near, server } = await startTwoRegions((_, socket) =>
      socket.write(createAnswer("c1", "from afar", ["X-Own: 1"]))
    );
    const answer = await sendCall(near.port);
    assert.match(answer, /^HTTP\/1\.1 200 OK/);
    assert.match(answer, /X-Own: 1\r\n/);
    assert.doesNotMatch(answer, /havenspur-hop/i);
    assert.ok(answer.endsWith("from afar"));
    const [request] = server.requests;
    assert.ok(request!.endsWith("payload"));
    assert.doesNotMatch(request!, /havenspur-hop/i);
    const left = Number(findHeader(request!, "x-havenspur-deadline-remaining"));
    assert.ok(left > 0 && left <= 900);
  });

  it("goes to the service that the first instance chose, even if the other one would choose differently", async () => {
    const { far, near } = await startTwoRegions((_, socket) =>
      socket.write(createAnswer("c1", "as chosen"))
    );
    const kind = "unsafe" as const;
    far.configure(2, {
      routes: [
        { prefix: "/a/", kind, service: "newer" },
        { prefix: "/b/", kind, service: "app" },
      ],
    });
    assert.ok((await sendCall(near.port)).endsWith("as chosen"));
  });

  it("is refused as not run if the server there did not run it", async () => {
    const { near } = await startTwoRegions((_, socket) =>
      socket.write(
        "HTTP/1.1 503 Full\r\nX-Havenspur-Attempt-Id: c1\r\nX-Havenspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      )
    );
    assert.match(await sendCall(near.port), /^HTTP\/1\.1 503 /);
  });

  it("is answered with 502, never 503, if the server there closes the connection", async () => {
    const { near } = await startTwoRegions((_, socket) => socket.destroy());
    assert.match(await sendCall(near.port), /^HTTP\/1\.1 502 /);
  });

  it("is answered with 502 if the other instance closes the connection", async () => {
    const { near, far } = await startTwoRegions(() => far.close());
    assert.match(await sendCall(near.port), /^HTTP\/1\.1 502 /);
  });

  it("has a visibly incomplete answer if the server there closes the connection midway", async () => {
    const { near } = await startTwoRegions((_, socket) => {
      socket.write(
        createAnswer("c1", "0123456789").slice(0, -4),
        () => setTimeout(() => socket.destroy(), 20),
      );
    });
    const answer = await sendCall(near.port);
    assert.doesNotMatch(answer, /0123456789$/);
    assert.match(answer, /^HTTP\/1\.1 (200|502)/);
  });

  it("is aborted at the server when the caller disconnects", async () => {
    let resolveClosed = () => {};
    const closed = new Promise<void>((resolve) => (resolveClosed = resolve));
    const { near } = await startTwoRegions((_, socket) => {
      socket.on("close", resolveClosed);
      caller.socket.destroy();
    });
    const caller = await openRawCaller(near.port);
    caller.socket.write(createRequest("/a/x"));
    await closed;
  });

  it("is not sent to a region that is none of its homes", async () => {
    const { near, server } = await startTwoRegions(
      (_, socket) => socket.write(createAnswer("c1", "x")),
      { homeRegions: ["north"] },
    );
    assert.match(await sendCall(near.port), /^HTTP\/1\.1 503 /);
    assert.equal(server.requests.length, 0);
  });

  it("is refused as not run if the other instance is unreachable", async () => {
    const { near, far, server } = await startTwoRegions(() => {});
    far.close();
    assert.match(await sendCall(near.port), /^HTTP\/1\.1 503 /);
    assert.equal(server.requests.length, 0);
  });

  it("resumes a broken stream after the last event that the caller received", async () => {
    const head = [
      "HTTP/1.1 200 OK",
      "X-Havenspur-Attempt-Id: c1",
      "X-Havenspur-Response-Signature: sig",
      "Transfer-Encoding: chunked",
      "",
      "",
    ].join("\r\n");
    const toChunk = (text: string) =>
      `${text.length.toString(16)}\r\n${text}\r\n`;
    const { far, near, server } = await startTwoRegions((request, socket) => {
      const after = Number(findHeader(request, "last-event-id") ?? 0);
      const event = toChunk(`id: ${after + 1}\ndata: t${after + 1}\n\n`);
      if (after > 0) socket.write(`${head}${event}0\r\n\r\n`);
      else {
        socket.write(
          head + event,
          () => setTimeout(() => socket.destroy(), 20),
        );
      }
    }, {
      kind: "streaming",
      resumable: true,
      maxAttempts: 2,
      serverCount: 2,
    });
    // A second instance of the far region resumes the call.
    near.gateway.receiveReport(
      createFarReport(far.peerPort, "other"),
      FAR_HOST,
    );
    const answer = await sendCall(near.port);
    const ids = [...answer.matchAll(/^id: (\d)$/gm)].map(([, id]) => id);
    assert.deepEqual(ids, ["1", "2"]);
    assert.ok(answer.endsWith("0\r\n\r\n"));
    const servers = server.requests.map((request) =>
      findHeader(request, "x-havenspur-expected-instance")
    );
    assert.equal(new Set(servers).size, 2);
  });

  ["header", "body"].forEach((part) =>
    it(`is answered if the second instance takes only a smaller ${part} of callers`, async () => {
      const { far, near } = await startTwoRegions((_, socket) =>
        socket.write(createAnswer("c1", "from afar"))
      );
      far.configure(2, {
        limits: part === "header"
          ? { maxHeaderBytes: 150 }
          : { maxBodyBytes: 1 },
      });
      assert.match(await sendCall(near.port), /^HTTP\/1\.1 200 OK/);
    })
  );

  // Whoever answers there did not speak of this send, which may have run.
  const foreignRefusals = {
    "to another send":
      "havenspur-hop-answer: kind=not-run&servedMs=1&tried=&send=other",
    "of no instance": "X-Havenspur-Not-Executed: 1",
  };
  Object.entries(foreignRefusals).forEach(([name, header]) => {
    it(`does not count as not run because of a refusal ${name}`, async () => {
      const peer = await startRawServer((_, socket) =>
        socket.write(
          `HTTP/1.1 421 Misdirected\r\nX-Havenspur-Attempt-Id: c1\r\n${header}\r\nContent-Length: 0\r\n\r\n`,
        )
      );
      const near = await startGateway({
        routes: [{ prefix: "/a/", kind: "unsafe", maxAttempts: 3 }],
        servers: { s0: "127.0.0.1:1" },
        serverRegions: { s0: "south" },
      });
      CLEAN_UPS.push(() => peer.close(), () => near.close());
      const { from, ...report } = createFarReport(1);
      near.gateway.receiveReport(
        { ...report, from: { ...from, address: peer.address } },
        FAR_HOST,
      );
      assert.match(await sendCall(near.port), /^HTTP\/1\.1 502 /);
      assert.equal(peer.requests.length, 1);
    });
  });

  it("takes no second hop", async () => {
    const { far, server } = await startTwoRegions(() => {}, {
      homeRegions: ["north"],
    });
    const caller = await openRawCaller(far.peerPort, FAR_HOST);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(
      createRequest("/a/x", {
        headers: [
          "havenspur-hop: from=instance-x&service=app&remainingMs=500",
          "Connection: close",
        ],
      }),
    );
    const answer = await caller.awaitEnd();
    assert.match(answer, /^HTTP\/1\.1 503 /);
    assert.match(answer, /havenspur-hop-answer: kind=not-run&/);
    assert.equal(server.requests.length, 0);
  });
});
