// Guards against a call that runs twice, or that is refused though it ran, because a refusal that names no call was taken for its own.
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { HttpBackendClient } from "../adapters/http_backend_client.ts";
import { Caller } from "../client/mod.ts";
import { createBackendCall } from "./backend_server_fixture.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import {
  createAnswer,
  type GatewayFixtureParts,
  postCall,
  startGateway,
} from "./http_gateway_fixture.ts";
import { findHeader, startRawServer } from "./raw_http.ts";
import { startTwoRegions } from "./two_regions_fixture.ts";

/** Heads, without the id of a call, that say that a call did not run. */
const FORMS = {
  "503": ["503 Full", "X-Havenspur-Not-Executed: 1"],
  "503 with Retry-After": [
    "503 Full",
    "X-Havenspur-Not-Executed: 1",
    "Retry-After: 0.2",
  ],
  "429": ["429 Busy", "X-Havenspur-Not-Executed: 1"],
  "400": ["400 Bad", "X-Havenspur-Not-Executed: 1"],
  "421": ["421 Misdirected", "X-Havenspur-Not-Executed: 1"],
  "421 without the header": ["421 Misdirected"],
} as const;
/** Delay of a server's own answer behind a stray one, in milliseconds. */
const OWN_ANSWER_DELAY_MS = 20;
const KEY = "key-1";

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

function toRefusal(lines: readonly string[], callId?: string): string {
  const name = callId === undefined
    ? []
    : [`X-Havenspur-Attempt-Id: ${callId}`];
  const [status, ...headers] = lines;
  return [
    `HTTP/1.1 ${status}`,
    ...name,
    ...headers,
    "Content-Length: 0",
    "",
    "",
  ]
    .join("\r\n");
}

function readCallId(request: string): string {
  return findHeader(request, "x-havenspur-attempt-id")!;
}

/** Runs a call, before whose answer a refusal of something else arrives. */
function answerBehind(refusal: string) {
  return (request: string, socket: Socket) => {
    socket.write(refusal);
    setTimeout(
      () => socket.write(createAnswer(readCallId(request), "done")),
      OWN_ANSWER_DELAY_MS,
    );
  };
}

function sendCall(port: number, callId = "c1"): Promise<string> {
  return postCall(port, { callId, headers: [`Authorization: Bearer ${KEY}`] });
}

/** Starts a gateway with two servers that run each call, and answer it in this way. */
async function startServers(
  answer: (request: string, socket: Socket) => void,
  route: Partial<GatewayFixtureParts["routes"][number]>,
  parts: Partial<GatewayFixtureParts> = {},
) {
  const servers = await Promise.all([
    startRawServer(answer),
    startRawServer(answer),
  ]);
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", maxAttempts: 3, ...route }],
    servers: { s1: servers[0].address, s2: servers[1].address },
    ...parts,
  });
  CLEAN_UPS.push(
    () => gateway.close(),
    ...servers.map((server) => () => server.close()),
  );
  const countRuns = () =>
    servers.reduce((sum, { requests }) => sum + requests.length, 0);
  return { gateway, servers, countRuns };
}

describe("a refusal that names no call", () => {
  Object.entries(FORMS).forEach(([form, lines]) => {
    describe(`with status ${form}`, () => {
      const answer = answerBehind(toRefusal(lines));
      const callKinds = {
        "an unsafe call": [{ kind: "unsafe" }, {}],
        "a stream that may not be resumed": [{ kind: "streaming" }, {}],
        "an unsafe call with a key": [
          { kind: "unsafe" },
          { teams: [{ name: "t1", apiKeys: [KEY] }] },
        ],
      } as const;
      Object.entries(callKinds).forEach(([name, [route, parts]]) => {
        it(`does not show that ${name} has not run`, async () => {
          const { countRuns, gateway } = await startServers(
            answer,
            route,
            parts,
          );
          assert.match(await sendCall(gateway.port), /^HTTP\/1\.1 502 /);
          assert.equal(countRuns(), 1);
        });
      });

      it("does not show that an unsafe call over a hop has not run", async () => {
        const { near, server } = await startTwoRegions(answer, {
          maxAttempts: 3,
          serverCount: 2,
        });
        assert.match(await sendCall(near.port), /^HTTP\/1\.1 502 /);
        assert.equal(server.requests.length, 1);
      });

      it("lets an idempotent call go on at another server", async () => {
        let count = 0;
        const { countRuns, gateway } = await startServers(
          (request, socket) => {
            const isFirst = count++ === 0;
            if (isFirst) answer(request, socket);
            else socket.write(createAnswer(readCallId(request), "done"));
          },
          { kind: "safe" },
        );
        assert.match(await sendCall(gateway.port), /^HTTP\/1\.1 200 /);
        assert.equal(countRuns(), 2);
      });
    });
  });

  it("ends the connection that it came on", async () => {
    const { gateway, servers } = await startServers(
      answerBehind(toRefusal(FORMS["503"])),
      { kind: "unsafe" },
    );
    await sendCall(gateway.port);
    await new Promise((resolve) => setTimeout(resolve, OWN_ANSWER_DELAY_MS));
    const sockets = servers.flatMap((server) => server.sockets);
    assert.deepEqual(sockets.map(({ destroyed }) => destroyed), [true]);
  });

  const places = {
    "in the packet of the answer before": (
      socket: Socket,
      answer: string,
      refusal: string,
    ) => void socket.write(answer + refusal),
    "on a connection at rest": (
      socket: Socket,
      answer: string,
      refusal: string,
    ) => {
      socket.write(answer);
      setTimeout(() => socket.write(refusal), OWN_ANSWER_DELAY_MS);
    },
  };
  Object.entries(places).forEach(([place, write]) => {
    it(`does not concern the next call if it comes ${place}`, async () => {
      const { countRuns, gateway } = await startServers(
        (request, socket) =>
          write(
            socket,
            createAnswer(readCallId(request), "done"),
            toRefusal(FORMS["503"]),
          ),
        { kind: "unsafe" },
      );
      assert.match(await sendCall(gateway.port, "c1"), /^HTTP\/1\.1 200 /);
      await new Promise((resolve) =>
        setTimeout(resolve, 2 * OWN_ANSWER_DELAY_MS)
      );
      assert.match(await sendCall(gateway.port, "c2"), /^HTTP\/1\.1 200 /);
      assert.equal(countRuns(), 2);
    });
  });
});

describe("a refusal that names its call", () => {
  it("lets an unsafe call run at another server", async () => {
    let count = 0;
    const { countRuns, gateway } = await startServers((request, socket) => {
      const callId = readCallId(request);
      const isFirst = count++ === 0;
      socket.write(
        isFirst
          ? toRefusal(FORMS["503"], callId)
          : createAnswer(callId, "done"),
      );
    }, { kind: "unsafe" });
    assert.match(await sendCall(gateway.port), /^HTTP\/1\.1 200 /);
    assert.equal(countRuns(), 2);
  });
});

describe("a refusal of a backend server to the embedded default", () => {
  const dispatch = async (
    headers: string,
    sent: Record<string, string> = {},
  ) => {
    const server = await startRawServer((_, socket) =>
      socket.write(
        `HTTP/1.1 503 Busy\r\nX-Ran: not-run\r\n${headers}Content-Length: 0\r\n\r\n`,
      )
    );
    const client = new HttpBackendClient();
    CLEAN_UPS.push(() => server.close(), () => void client.close());
    const call = createBackendCall(server.address);
    const answer = await client.dispatch(
      { ...call, headers: { "x-attempt-id": call.attempt, ...sent } },
      new AbortController().signal,
    );
    return answer.isErr() ? answer.error.kind : "answered";
  };

  it("shows that the call has not run if it names its attempt", async () => {
    assert.equal(await dispatch("X-Attempt-Id: a1\r\n"), "refused");
  });

  it("leaves open whether the call has run if it names another attempt or none", async () => {
    assert.equal(await dispatch("X-Attempt-Id: a0\r\n"), "broken");
    assert.equal(await dispatch(""), "broken");
  });

  it("leaves it open if it names the request, and another attempt of it", async () => {
    const sent = { "x-request-id": "r1" };
    const request = "X-Request-Id: r1\r\n";
    assert.equal(await dispatch(request, sent), "refused");
    assert.equal(
      await dispatch(`${request}X-Attempt-Id: a0\r\n`, sent),
      "broken",
    );
  });
});

describe("a refusal to a caller with this project's client", () => {
  const REFUSAL = JSON.stringify({
    error: { retry: "elsewhere", ran: "not-run" },
  });
  /** Calls an entry that refuses each call, and returns how often the call arrived. */
  const countTries = async (toHeaders: (request: string) => string) => {
    const entry = await startRawServer((request, socket) =>
      socket.write(
        `HTTP/1.1 503 Busy\r\nX-Ran: not-run\r\nX-Result-Code: 1\r\n${
          toHeaders(request)
        }Content-Length: ${REFUSAL.length}\r\n\r\n${REFUSAL}`,
      )
    );
    const entries = [`http://${entry.address}`];
    const caller = new Caller({ entries, token: "t" });
    CLEAN_UPS.push(() => entry.close(), () => void caller.close());
    await caller.call("/services/app/x", { body: {} });
    return entry.requests.filter((each) => each.startsWith("POST")).length;
  };

  it("lets a call that may run once be sent again if it names its try", async () => {
    const tries = await countTries((request) =>
      `X-Attempt-Id: ${findHeader(request, "x-attempt-id")}\r\n`
    );
    assert.ok(tries > 1);
  });

  it("does not let it be sent again if it names another try or none", async () => {
    assert.equal(await countTries(() => "X-Attempt-Id: a0\r\n"), 1);
    assert.equal(await countTries(() => ""), 1);
  });
});
