import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import { LoadTracker } from "../fleet/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createSilentLogger, type Logger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import {
  createFleetView,
  createMember,
  createServerEntry,
} from "../tests/member_fixture.ts";
import {
  ANSWERING_CLIENT,
  ANSWERING_PEERS,
  createHeadSink,
  createOpaqueCall,
  SINGLE_ROUTE_TABLE,
} from "../tests/opaque_call_fixture.ts";
import { createRecordingLogger } from "../tests/recording_logger.ts";
import { createReport } from "../tests/report_fixture.ts";
import { CallForwarder } from "./call_forwarder.ts";
import { GATEWAY_HEADER_CODEC } from "./gateway_header_codec.ts";
import type { AnswerHead, ServerClient } from "./server_client.ts";

/** Never answers the first send, and answers the others immediately. */
function createInitiallySilentClient(): ServerClient & {
  readonly addresses: string[];
} {
  const addresses: string[] = [];
  return {
    addresses,
    send: (request, events) => {
      addresses.push(request.address);
      if (addresses.length > 1) return ANSWERING_PEERS.send(request, events);
      return { resume: () => {}, abort: () => {} };
    },
  };
}

/** Never answers. */
const SILENT_CLIENT: ServerClient = {
  send: () => ({ resume: () => {}, abort: () => {} }),
};

/** Has no free connection, so that it sends nothing. */
const FULL_CLIENT: ServerClient = {
  send: (_, events) => {
    queueMicrotask(() =>
      events.onFailure({
        kind: "not-sent",
        message: "All connections are in use",
        isOwnLimit: true,
      })
    );
    return { resume: () => {}, abort: () => {} };
  },
};

interface StartOptions {
  /** Sends to the server. Default: it answers. */
  readonly client?: ServerClient;
  readonly logger?: Logger;
  /** Region of the only server. Default: that of the instance. */
  readonly serverRegion?: string;
  readonly peerClient?: ServerClient;
}

function start(options: StartOptions = {}) {
  const {
    client = ANSWERING_CLIENT,
    logger = createSilentLogger(),
    serverRegion = "north",
    peerClient = ANSWERING_PEERS,
  } = options;
  const clock = new VirtualClock();
  const loads = new LoadTracker();
  const fleet = createFleetView(createMember("a"), loads);
  const registry = new ServerRegistry();
  const region = toRegionId(serverRegion);
  registry.put(createServerEntry("s1", { region }), clock.nowMs());
  const forwarder = new CallForwarder({
    clock,
    random: createRandom(1),
    headerCodec: GATEWAY_HEADER_CODEC,
    client,
    peerClient,
    probeServer: () => Promise.resolve(true),
    registry,
    fleet,
    loads,
    logger,
    metrics: NO_METRICS,
    retryBounds: { ratio: 0.2, slack: 50, windowMs: 10_000 },
    limitBounds: { windowMs: 8_000, overshoot: 0, slack: 0 },
    warmUpBounds: { overshoot: 1.5, slack: 3 },
  });
  const handle = () => {
    const heads: AnswerHead[] = [];
    const call = createOpaqueCall(clock.nowMs());
    const sink = createHeadSink((head) => heads.push(head));
    void forwarder.handle(call, sink);
    return heads;
  };
  const meet = (name: string, region: string) =>
    fleet.applyReport(
      createReport(createMember(name, region), 1, { scope: "region" }),
      clock.nowMs(),
    );
  return { clock, forwarder, handle, meet };
}

describe("CallForwarder", () => {
  describe("when its connections to a server are all in use", () => {
    it("does not count that as a failure of the server", async () => {
      const warnings: string[] = [];
      const { forwarder, handle, clock } = start({
        client: FULL_CLIENT,
        logger: {
          ...createSilentLogger(),
          warn: (message) => warnings.push(message),
        },
      });
      forwarder.setTable(SINGLE_ROUTE_TABLE);
      const heads = Array.from({ length: 4 }, handle);
      await clock.advance(1_000);
      assert.deepEqual(heads.flat().map(({ status }) => status), [
        503,
        503,
        503,
        503,
      ]);
      assert.deepEqual(warnings, []);
    });
  });

  describe("when a remote instance is silent", () => {
    it("sends a retryable call to another instance of its region in time", async () => {
      const peerClient = createInitiallySilentClient();
      const { clock, forwarder, handle, meet } = start({
        serverRegion: "south",
        peerClient,
      });
      forwarder.setTable(SINGLE_ROUTE_TABLE);
      meet("south-1", "south");
      meet("south-2", "south");
      const heads = handle();
      await clock.advance(800);
      assert.deepEqual(heads.map(({ status }) => status), [200]);
      assert.deepEqual([...peerClient.addresses].sort(), [
        "south-1:1",
        "south-2:1",
      ]);
    });
  });

  [SILENT_CLIENT, ANSWERING_CLIENT].forEach((client) => {
    const isAnswered = client === ANSWERING_CLIENT;
    it(`logs a call whose connection closed before its answer was sent (isAnswered=${isAnswered})`, async () => {
      const { lines, logger } = createRecordingLogger();
      const { clock, forwarder } = start({ client, logger });
      forwarder.setTable(SINGLE_ROUTE_TABLE);
      const connection = new AbortController();
      const sink = { ...createHeadSink(() => {}), signal: connection.signal };
      void forwarder.handle(createOpaqueCall(clock.nowMs()), sink);
      await clock.advance(10);
      connection.abort("the caller closed the connection");
      await clock.advance(1);
      const line = lines.find((each) => each.includes("within the call")) ?? "";
      assert.match(line, /"reason":"the caller closed .*"at":"s1"/);
      assert.ok(line.includes(`"isAnswered":${isAnswered}`));
    });
  });

  describe("when it has just started and has no configuration", () => {
    it("serves a call if the configuration arrives shortly after it", async () => {
      const { clock, forwarder, handle } = start();
      const heads = handle();
      await clock.advance(60);
      assert.deepEqual(heads, []);
      forwarder.setTable(SINGLE_ROUTE_TABLE);
      await clock.advance(1);
      assert.deepEqual(heads.map(({ status }) => status), [200]);
    });

    it("refuses the call as not run, with Retry-After, if the configuration takes too long", async () => {
      const { clock, handle } = start();
      const heads = handle();
      await clock.advance(200);
      assert.deepEqual(heads.map(({ status }) => status), [503]);
      assert.ok(heads[0]?.headers.includes("Retry-After"));
    });
  });
});
