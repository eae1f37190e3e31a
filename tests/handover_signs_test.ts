// Something else was taken for a sign that a second server runs a call, or that the first one is lost.
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createAnswer,
  createRequest,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, openRawCaller, startRawServer } from "./raw_http.ts";
import {
  CLEAN_UPS,
  createEvent,
  openStream,
  pauseMidway,
  REFUSAL,
  type RequestHandler,
  requestStream,
  SILENCE_MS,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";
import { createFarReport, FAR_HOST } from "./two_regions_fixture.ts";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

const WHOLE = /token 1\n\n.*token 2\n\n\r\n0\r\n\r\n$/s;

interface ServerFixture {
  readonly address: string;
  readonly region?: string;
}

/** Returns the parts of a configuration with engines. */
function toParts(servers: readonly ServerFixture[], maxAttempts = 2) {
  const byId = (read: (server: ServerFixture) => string) =>
    Object.fromEntries(
      servers.map((server, index) => [`s${index}`, read(server)]),
    );
  return {
    routes: [{
      prefix: "/a/",
      kind: "streaming" as const,
      resumable: true,
      maxAttempts,
    }],
    servers: byId(({ address }) => address),
    serverRegions: byId(({ region = "north" }) => region),
    engine: { slots: 8, kvCacheTokens: 100_000 },
  };
}

async function startNear(servers: readonly ServerFixture[], maxAttempts = 2) {
  const gateway = await startGateway(toParts(servers, maxAttempts));
  CLEAN_UPS.push(() => gateway.close());
  return gateway;
}

/** Starts an instance in each region. */
async function startBoth(
  servers: readonly ServerFixture[],
  maxAttempts: number,
) {
  const far = await startGateway({
    ...toParts(servers, maxAttempts),
    host: FAR_HOST,
    region: "south",
  });
  CLEAN_UPS.push(() => far.close());
  const near = await startNear(servers, maxAttempts);
  near.gateway.receiveReport(createFarReport(far.peerPort), FAR_HOST);
  return { far, near };
}

async function startServers(handlers: readonly RequestHandler[]) {
  const servers = await Promise.all(handlers.map(startRawServer));
  CLEAN_UPS.push(...servers.map((server) => () => server.close()));
  return servers;
}

/** Sends an event, and the next one after a silence for which its server counts as lost. */
function pauseLong(_: string, socket: Socket) {
  socket.write(STREAM_HEAD + toChunk(createEvent(1)));
  setTimeout(
    () => socket.write(toChunk(createEvent(2)) + STREAM_END),
    3_500,
  );
}

async function call(port: number, callId: string) {
  const caller = await openRawCaller(port);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(createRequest("/a/x", {
    method: "POST",
    body: "prompt",
    callId,
    headers: ["Connection: close"],
  }));
  return caller;
}

describe("a handover to an engine that streams another call", () => {
  (["refuses it late", "falls silent itself"] as const).forEach((how) =>
    it(`leaves the stream with the first one if the second one queues it and ${how}`, async () => {
      let isSilent = false;
      let received = 0;
      const handle: RequestHandler = (request, socket) => {
        if (findHeader(request, "x-havenspur-attempt-id") === "c0") {
          socket.write(STREAM_HEAD.replace("c1", "c0"));
          const timer = setInterval(() => {
            if (!isSilent) socket.write(toChunk(createEvent(1)));
          }, 30);
          CLEAN_UPS.push(() => clearInterval(timer));
          return;
        }
        if (++received === 1) {
          pauseMidway(request, socket);
          return;
        }
        if (how === "refuses it late") {
          setTimeout(() => socket.write(REFUSAL), 400);
        } else setTimeout(() => (isSilent = true), 100);
      };
      const servers = await startServers([handle, handle]);
      const near = await startNear(servers.slice(0, 1));
      const caller = await openStream(near.port);
      await caller.awaitText("token 1");
      // The other call comes while the first engine is silent, so that the second one gets it.
      await sleep(700);
      near.configure(2, toParts(servers));
      await call(near.port, "c0");
      const answer = await caller.awaitEnd();
      assert.match(servers[1]!.requests[0] ?? "", /attempt-id: c0\r/i);
      assert.equal(received, 2);
      assert.match(answer, WHOLE);
    })
  );
});

describe("a handover from an engine whose open connections work, while it takes no new ones", () => {
  it("leaves the paused stream with it", async () => {
    const sockets: Socket[] = [];
    const first = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => {});
      socket.once("data", () => {
        first.close();
        pauseMidway("", socket);
      });
    });
    first.listen(0, "127.0.0.1");
    await once(first, "listening");
    CLEAN_UPS.push(() => sockets.forEach((socket) => socket.destroy()));
    const address = `127.0.0.1:${(first.address() as AddressInfo).port}`;
    const [second] = await startServers([(request, socket) => {
      const id = findHeader(request, "x-havenspur-attempt-id")!;
      if (id !== "c1") socket.write(createAnswer(id, "other"));
    }]);
    const near = await startNear([{ address }]);
    const caller = await openStream(near.port);
    await caller.awaitText("token 1");
    near.configure(2, toParts([{ address }, second!]));
    for (let index = 0; index < 12; index++) {
      await (await call(near.port, `c1${index}`)).awaitEnd();
    }
    const answer = await caller.awaitEnd();
    assert.ok(second!.requests.some((text) => /Attempt-Id: c1\r/i.test(text)));
    assert.match(answer, WHOLE);
  });
});

describe("a handover that was withdrawn from a remote instance", () => {
  // Its engine used up an attempt, and the call was lost with its first server.
  (["refuses the call", "breaks off", "is lost"] as const).forEach((how) =>
    it(`gives the call to the same engine again once the first server ${how}`, async () => {
      const first: RequestHandler = (_, socket) => {
        if (how === "is lost") return;
        setTimeout(
          () => how === "breaks off" ? socket.destroy() : socket.write(REFUSAL),
          SILENCE_MS,
        );
      };
      const answerLate: RequestHandler = (_, socket) => {
        setTimeout(
          () =>
            socket.write(STREAM_HEAD + toChunk(createEvent(1)) + STREAM_END),
          500,
        );
      };
      const [local, ...remotes] = await startServers([
        first,
        answerLate,
        answerLate,
      ]);
      const servers = [
        local!,
        ...remotes.map(({ address }) => ({ address, region: "south" })),
      ];
      const { far, near } = await startBoth(servers, 2);
      let sequence = 1;
      const reports = setInterval(() => {
        const report = createFarReport(far.peerPort);
        const next = { ...report, sequence: ++sequence };
        near.gateway.receiveReport(next, FAR_HOST);
      }, 500);
      CLEAN_UPS.push(() => clearInterval(reports));
      assert.match(await requestStream(near.port), /^HTTP\/1\.1 200 /);
      const counts = remotes.map(({ requests }) => requests.length);
      assert.deepEqual(counts.sort(), [0, 2]);
    })
  );

  it("does not send the call to the same engine again", async () => {
    const [local, remote] = await startServers([pauseLong, () => {}]);
    const servers = [local!, { address: remote!.address, region: "south" }];
    const { near } = await startBoth(servers, 4);
    await requestStream(near.port);
    assert.ok(remote!.requests.length > 0, "was handed over");
    assert.equal(remote!.requests.length, 1);
  });
});
