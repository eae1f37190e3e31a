// Guards against refusing all calls in the 5 s before the end of a graceful shutdown of 7.7 s, in which long answers complete, while the region has no other instance: its servers had capacity, but 154 of 235 calls in 2 s (seconds 8 to 10) were refused, and calls bound to the region can't go to another one.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import type { SendEvents, ServerClient } from "../forwarding/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createMember, createServerEntry } from "./member_fixture.ts";
import { createHeadSink, createOpaqueCall } from "./opaque_call_fixture.ts";
import { createReport } from "./report_fixture.ts";
import { createRoute, createRouteTable, ROUTE_HOST } from "./route_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

const GRACE_MS = 8_000;
const NORTH = toRegionId("north");
/** Time after which an instance that shuts down no longer accepts calls of any duration, in milliseconds. */
const AFTER_ACCEPTING_MS = 3_000;

/** Begins the graceful shutdown of an instance that is alone in its region or beside another one. */
async function startShutdown(hasNeighbour = false) {
  const clock = new VirtualClock();
  const sent: SendEvents[] = [];
  const client: ServerClient = {
    send: (_, events) => {
      sent.push(events);
      return { resume: () => {}, abort: () => {} };
    },
  };
  const gateway = createVirtualGateway("north-1", { clock, client });
  gateway.registry.replaceAll([createServerEntry("s1")], clock.nowMs(), 0);
  gateway.forwarder.setTable(createRouteTable([{
    ...createRoute("/a/", ["north"]),
    timeoutMs: 60_000,
  }]));
  let hasStopped = false;
  void gateway.handle(
    createOpaqueCall(clock.nowMs()),
    createHeadSink(() => {}),
  );
  await clock.advance(1);
  void gateway.shutDown({
    graceMs: GRACE_MS,
    countOpenAnswers: () => gateway.forwarder.inFlight,
    stopListening: () => {},
  }).then(() => hasStopped = true);
  await clock.advance(AFTER_ACCEPTING_MS);
  if (hasNeighbour) {
    const report = createReport(createMember("north-2"), 1);
    gateway.receiveReport(report, "north-2:1");
  }
  await clock.advance(100);
  return {
    clock,
    gateway,
    hasStopped: () => hasStopped,
    /** Completes the long answer that the instance waits for. */
    completeAnswer: async () => {
      const [first] = sent;
      first!.onHead({ status: 200, statusText: "OK", headers: [] });
      first!.onEnd([]);
      await clock.advance(100);
    },
    /** Sends a call with this time to its deadline; returns its status and Retry-After, or `undefined` while it has no answer. */
    call: async (remainingMs: number) => {
      const heads: { status: number; headers: readonly string[] }[] = [];
      const call = createOpaqueCall(clock.nowMs());
      void gateway.handle(
        {
          ...call,
          headers: [...call.headers, "X-Deadline-Ms", `${remainingMs}`],
        },
        createHeadSink((head) => heads.push(head)),
      );
      await clock.advance(1);
      const [head] = heads;
      return head && { status: head.status, retryAfter: head.headers.at(-1) };
    },
    pickIds: () =>
      gateway.pickEntries(NORTH, ROUTE_HOST).entries.map(({ id }): string =>
        id
      ),
  };
}

describe("an instance that waits for a long answer during its graceful shutdown", () => {
  describe("while no other instance of its region takes calls", () => {
    it("takes calls that end before it stops", async () => {
      const { call, pickIds } = await startShutdown();
      // The call was taken, and waits for the answer of a server.
      assert.equal(await call(4_000), undefined);
      assert.deepEqual(pickIds(), ["north-1"]);
    });

    it("immediately refuses a call that may last longer than the instance", async () => {
      const { call } = await startShutdown();
      const refused = await call(5_000);
      assert.equal(refused?.status, 503);
      assert.equal(Number(refused?.retryAfter), 0);
    });

    it("takes no more calls once that answer is complete, and stops", async () => {
      const { call, clock, completeAnswer, hasStopped, pickIds } =
        await startShutdown();
      await completeAnswer();
      assert.equal((await call(1_000))?.status, 503);
      assert.deepEqual(pickIds(), []);
      await clock.advance(250);
      assert.ok(hasStopped());
    });

    // A call sent 0.15 s before the process ended, just after the last answer was complete, was never read.
    it("answers a call that arrives between its last answer and the end of the process", async () => {
      const { call, clock, completeAnswer, hasStopped } = await startShutdown();
      await completeAnswer();
      await clock.advance(50);
      assert.ok(!hasStopped());
      assert.equal((await call(1_000))?.status, 503);
    });
  });

  it("takes no more calls beside another ready instance, and directs callers there immediately", async () => {
    const { call, pickIds } = await startShutdown(true);
    const refused = await call(1_000);
    assert.equal(refused?.status, 503);
    assert.equal(Number(refused?.retryAfter), 0);
    assert.deepEqual(pickIds(), ["north-2"]);
  });
});
