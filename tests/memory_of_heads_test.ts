import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import { estimateHeadMemory, estimateJsonMemory } from "../capacity/mod.ts";
import { startGateway, TEST_HOST } from "./http_gateway_fixture.ts";
import { measureHeapBytes } from "./measure_heap.ts";
import { startRawServer } from "./raw_http.ts";
import { waitUntil } from "./wait_until.ts";

const CALLS = 40;

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

type Headers = readonly (readonly [name: string, value: string])[];

const createPromptHeaders = (parts: string): Headers => [
  ["X-Havenspur-Model", "m"],
  ["X-Havenspur-Token-Counts", "91720,80"],
  ["X-Havenspur-Prompt-Prefix", parts],
];

const createParts = (count: number, toPart: (at: number) => string) =>
  Array.from({ length: count }, (_, at) => toPart(at)).join(",");

const HEADS: readonly {
  readonly name: string;
  readonly create: (call: number) => Headers;
}[] = [
  {
    name: "a prompt of 1,200 parts, all of which are tracked",
    create: (call) =>
      createPromptHeaders(
        createParts(1_200, (at) => `${1_000_000 + 2_000 * call + at}:256`),
      ),
  },
  {
    name: "a prompt of 2,500 parts with short identifiers",
    create: () =>
      createPromptHeaders(createParts(2_500, (at) => `${at % 10}:256`)),
  },
  {
    name: "1,200 header lines",
    create: (call) =>
      Array.from({ length: 1_200 }, (_, at) => [`${at}-${call}`, "b"]),
  },
  {
    name: "a header of 15,000 characters",
    create: (call) => [["X-A", Buffer.alloc(15_000, `${call} `).toString()]],
  },
];

/** Returns the memory that each of several calls in progress takes, in bytes. */
async function measureCalls(create: (call: number) => Headers) {
  const server = await startRawServer(() => {});
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", timeoutMs: 60_000, targetMs: 60_000 }],
    servers: { s1: server.address },
    slots: 2 * CALLS,
    limits: { maxHeaderBytes: 16_384 },
  });
  CLEAN_UPS.push(server.close, gateway.close);
  const before = measureHeapBytes();
  for (let call = 0; call < CALLS; call++) {
    const socket = connect(gateway.port, gateway.host);
    CLEAN_UPS.push(() => socket.destroy());
    await once(socket, "connect");
    const lines = create(call).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(
      `GET /a/1 HTTP/1.1\r\nHost: ${TEST_HOST}\r\n` +
        `X-Havenspur-Attempt-Id: a${call}\r\n${lines.join("")}\r\n`,
    );
    // A gateway that falls behind would refuse some of the calls.
    await waitUntil(() => server.requests.length > call);
  }
  server.requests.length = 0;
  const perCallBytes = (measureHeapBytes() - before) / CALLS;
  CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp());
  return perCallBytes;
}

describe("estimateHeadMemory()", () => {
  HEADS.forEach(({ create, name }) => {
    // The heap ends the process where calls take more memory than is counted.
    it(`is at least what a call takes with ${name}`, async () => {
      await measureCalls(() => []);
      const plainBytes = await measureCalls(() => []);
      const bytes = await measureCalls(create) - plainBytes;
      const estimated = estimateHeadMemory(create(1).flat());
      assert.ok(bytes <= estimated, `${bytes} bytes of ${estimated}`);
    });
  });
});

const VALUES = 50_000;
const TEXTS: readonly (readonly [name: string, text: string])[] = [
  ["empty lists", `[${"[],".repeat(VALUES)}0]`],
  ["empty objects", `[${"{},".repeat(VALUES)}0]`],
  ["lists within each other", "[".repeat(VALUES) + "]".repeat(VALUES)],
  [
    "members of one object",
    `{${createParts(VALUES, (at) => `"k${at}":${at}`)}}`,
  ],
  ["objects of one member", `[${createParts(VALUES, (at) => `{"k${at}":1}`)}]`],
  ["short strings", `[${createParts(VALUES, (at) => `"${at}"`)}]`],
];

describe("estimateJsonMemory()", () => {
  TEXTS.forEach(([name, text]) => {
    // The heap ends the process where parsed bodies take more memory than is counted.
    it(`is at least what a text takes with ${name}`, () => {
      const before = measureHeapBytes();
      const parsed: unknown = JSON.parse(text);
      const bytes = measureHeapBytes() - before;
      assert.ok(parsed !== undefined);
      const estimated = estimateJsonMemory(Buffer.from(text));
      assert.ok(bytes <= estimated, `${bytes} bytes of ${estimated}`);
    });
  });
});
