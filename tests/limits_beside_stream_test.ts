import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createRequest } from "./http_gateway_fixture.ts";
import { openRawCaller } from "./raw_http.ts";
import {
  CLEAN_UPS,
  createEvent,
  type RequestHandler,
  startStreamingGateway,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";
import { startTwoRegions } from "./two_regions_fixture.ts";

/** A configuration without the route, its service and its callers, and with small limits. */
const SMALLER = {
  limits: {
    maxHeaderBytes: 10,
    maxBodyBytes: 1,
    headerTimeoutMs: 100,
    idleTimeoutMs: 100,
  },
  routes: [{ prefix: "/z/", timeoutMs: 100, service: "other" }],
  servers: {},
  teams: [{ name: "team", apiKeys: ["key"] }],
};
/** Silence of the server, in milliseconds: longer than the limits and the checks of connections. */
const SILENCE_MS = 2_500;
const ROUTE = {
  kind: "streaming" as const,
  resumable: true,
  maxAttempts: 2,
};

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

/** Answers the first request at once, and is silent within the answer to the second one. */
function createHandler(): RequestHandler {
  let calls = 0;
  return (_, socket) => {
    calls++;
    const isSecond = calls === 2;
    socket.write(STREAM_HEAD + toChunk(createEvent(calls)));
    setTimeout(
      () => socket.write(toChunk(createEvent(9)) + STREAM_END),
      isSecond ? SILENCE_MS : 0,
    );
  };
}

async function startInstances(hops: number) {
  if (hops === 0) {
    return [(await startStreamingGateway([createHandler()], ROUTE)).gateway];
  }
  const { far, near } = await startTwoRegions(createHandler(), ROUTE);
  return [near, far];
}

describe("a stream on a kept connection whose server is silent", () => {
  [0, 1].forEach((hops) =>
    it(`is whole beside a configuration that removes all it needs (${hops} hops)`, async () => {
      const instances = await startInstances(hops);
      const caller = await openRawCaller(instances[0]!.port);
      CLEAN_UPS.push(() => caller.socket.destroy());
      caller.socket.write(createRequest("/a/x"));
      await caller.awaitText(STREAM_END);
      caller.socket.write(createRequest("/a/x"));
      await caller.awaitText("token 2");
      instances.forEach(({ configure, gateway, pool }) => {
        configure(2, SMALLER);
        gateway.registry.replaceAll([], 0, 0);
        gateway.forwarder.forgetUnregisteredServers();
        pool.keepOnly(new Set());
      });
      await sleep(SILENCE_MS);
      const answers = await caller.awaitText(/token 2[^]*\r\n0\r\n\r\n/);
      assert.match(answers, /token 2[^]*token 9\n\n\r\n0\r\n\r\n$/);
    })
  );
});
