// What callers saw: with all instances of a region restarted within seconds, the first
// that left stayed for 7.7 s to end its long answers, and took no call of the 5 s
// before: the region's callers had nobody, though the process ran and its servers had
// room (2 of 3 calls between the seconds 8 and 10 refused, 154 of 235). Naming instances
// of other regions in its place is no way out: calls bound to the region go nowhere else.
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
/** Time after which an instance that leaves takes no more calls of every length, in milliseconds. */
const LATER_MS = 3_000;

/** Lets an instance leave, alone in its region or beside another one. */
async function startLeaving(hasNeighbour = false) {
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
  let hasEnded = false;
  void gateway.handle(
    createOpaqueCall(clock.nowMs()),
    createHeadSink(() => {}),
  );
  await clock.advance(1);
  void gateway.leave({
    graceMs: GRACE_MS,
    countOpen: () => gateway.forwarder.inFlight,
    stopListening: () => {},
  }).then(() => hasEnded = true);
  await clock.advance(LATER_MS);
  if (hasNeighbour) {
    const report = createReport(createMember("north-2"), 1);
    gateway.receiveReport(report, "north-2:1");
  }
  await clock.advance(100);
  return {
    clock,
    gateway,
    hasEnded: () => hasEnded,
    /** Ends the long answer that the instance waits for. */
    endAnswer: async () => {
      const [first] = sent;
      first!.onHead({ status: 200, statusText: "OK", headers: [] });
      first!.onEnd([]);
      await clock.advance(100);
    },
    /** Sends a call with so much time, and returns the head of its answer by then. */
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
    pick: () =>
      gateway.pickEntries(NORTH, ROUTE_HOST).entries.map(({ id }): string =>
        id
      ),
  };
}

describe("an instance that leaves and waits for a long answer", () => {
  describe("while no other of its region takes calls", () => {
    it("takes calls that end before it does", async () => {
      const { call, pick } = await startLeaving();
      // It is at a server: it was taken.
      assert.equal(await call(4_000), undefined);
      assert.deepEqual(pick(), ["north-1"]);
    });

    it("refuses a call that may outlast it at once", async () => {
      const { call } = await startLeaving();
      const refused = await call(5_000);
      assert.equal(refused?.status, 503);
      assert.equal(Number(refused?.retryAfter), 0);
    });

    it("takes no more once that answer has ended, and ends", async () => {
      const { call, clock, endAnswer, hasEnded, pick } = await startLeaving();
      await endAnswer();
      assert.equal((await call(1_000))?.status, 503);
      assert.deepEqual(pick(), []);
      await clock.advance(250);
      assert.ok(hasEnded());
    });

    // A caller that still knew the instance sent its call 0.15 s before the process
    // ended, in the moment at which the last answer had gone: it was never read.
    it("answers whoever comes in its last moments", async () => {
      const { call, clock, endAnswer, hasEnded } = await startLeaving();
      await endAnswer();
      await clock.advance(50);
      assert.ok(!hasEnded());
      assert.equal((await call(1_000))?.status, 503);
    });
  });

  it("takes no more calls beside another that is ready, and sends callers there at once", async () => {
    const { call, pick } = await startLeaving(true);
    const refused = await call(1_000);
    assert.equal(refused?.status, 503);
    assert.equal(Number(refused?.retryAfter), 0);
    assert.deepEqual(pick(), ["north-2"]);
  });
});
