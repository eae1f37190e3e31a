import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createReport } from "../tests/report_fixture.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import type { FleetReport, MemberRecord } from "./fleet_report.ts";
import { REMOTE_MEMBER_TIMEOUT_MS } from "./member_table.ts";
import { LOCAL_MEMBER_TIMEOUT_MS } from "./summary_reception.ts";
import { LoadTracker } from "./load_tracker.ts";
import { createFleetView, createMember } from "../tests/member_fixture.ts";

const NORTH = toRegionId("north");
const SOUTH = toRegionId("south");
/** Sequence number from which on a member's reports say that it leaves. */
const LEAVES_AT = 6;

/** Input of a view. Messages may arrive late, twice or not at all. */
type Event =
  | { readonly kind: "report"; readonly who: number; readonly sequence: number }
  | {
    readonly kind: "gossip";
    readonly by: number;
    readonly who: number;
    readonly sequence: number;
    readonly ageMs: number;
  }
  | { readonly kind: "restart"; readonly who: number }
  | { readonly kind: "wait"; readonly ms: number };

const MEMBERS = [0, 1, 2, 3];
const who = fc.constantFrom(...MEMBERS);
const sequence = fc.integer({ min: 1, max: 12 });
const EVENT: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ kind: fc.constant("report" as const), who, sequence }),
  fc.record({
    kind: fc.constant("gossip" as const),
    by: who,
    who,
    sequence,
    ageMs: fc.integer({ min: 0, max: 3_000 }),
  }),
  fc.record({ kind: fc.constant("restart" as const), who }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.integer({ min: 1, max: 1_500 }),
  }),
);

/** A view, and a model of what the same events tell of each member. */
class Run {
  readonly loads = new LoadTracker();
  readonly view = createFleetView(createMember("self"), this.loads);
  readonly incarnations = MEMBERS.map(() => 1);
  /** Incarnation in which a member's own report said that it leaves. */
  readonly left = new Map<number, number>();
  /** When a member was last known to run, by its own report or by gossip. */
  readonly heardMs = new Map<number, number>();
  nowMs = 10_000;
  #sent = 0;

  apply(event: Event): void {
    switch (event.kind) {
      case "wait":
        this.nowMs += event.ms;
        this.view.sweep(this.nowMs);
        return;
      case "restart":
        this.incarnations[event.who]!++;
        return;
      case "report":
        this.#applyReport(event.who, event.sequence, []);
        return;
      case "gossip": {
        const { ageMs, by } = event;
        const member = this.createMember(event.who, event.sequence);
        // The sequence number is the newest, so that the report's gossip is applied.
        this.#applyReport(by, 1_000 + ++this.#sent, [{ member, ageMs }]);
        this.#note(event.who, this.nowMs - ageMs);
        return;
      }
    }
  }

  createMember(index: number, sequence: number): MemberRecord {
    const isNear = index < 2;
    return {
      id: toInstanceId(`m${index}`),
      incarnation: String(this.incarnations[index]),
      address: `m${index}:1`,
      region: isNear ? NORTH : SOUTH,
      failureDomain: toFailureDomainId(isNear ? "north-a" : "south-a"),
      state: sequence >= LEAVES_AT ? "leaving" : "ready",
    };
  }

  #applyReport(
    index: number,
    sequence: number,
    gossip: FleetReport["gossip"],
  ): void {
    const from = this.createMember(index, sequence);
    const isNew = this.view.applyReport(
      createReport(from, sequence, { gossip }),
      this.nowMs,
    );
    if (!isNew) return;
    this.#note(index, this.nowMs);
    if (from.state === "leaving") {
      this.left.set(index, this.incarnations[index]!);
    }
  }

  #note(index: number, heardMs: number): void {
    this.heardMs.set(
      index,
      Math.max(heardMs, this.heardMs.get(index) ?? heardMs),
    );
  }
}

function checkAfterEach(check: (run: Run) => void): void {
  fc.assert(
    fc.property(fc.array(EVENT, { maxLength: 40 }), (events) => {
      const run = new Run();
      events.forEach((event) => {
        run.apply(event);
        check(run);
      });
    }),
    { numRuns: 400, seed: 20_261_202 },
  );
}

describe("FleetView, with reports and gossip in any order", () => {
  it("never lists a leaving member as ready before it has restarted", () => {
    checkAfterEach((run) => {
      const ready = [NORTH, SOUTH].flatMap((region) =>
        run.view.listReady(region, run.nowMs)
      ).map(({ id }) => id);
      run.left.forEach((incarnation, index) => {
        if (run.incarnations[index] !== incarnation) return;
        assert.ok(!ready.includes(toInstanceId(`m${index}`)));
      });
    });
  });

  it("never lists a member that has been silent for longer than the timeout", () => {
    checkAfterEach((run) => {
      run.view.listLive(run.nowMs).forEach(({ id, region }) => {
        const heardMs = run.heardMs.get(Number(id.slice(1))) ?? -Infinity;
        const limitMs = region === NORTH
          ? LOCAL_MEMBER_TIMEOUT_MS
          : REMOTE_MEMBER_TIMEOUT_MS;
        assert.ok(run.nowMs - heardMs < limitMs);
      });
    });
  });

  it("counts at least all live members among the instances that share a limit", () => {
    checkAfterEach((run) => {
      const live = run.view.listLive(run.nowMs);
      assert.ok(run.view.countInstancesSharingLimits() >= live.length + 1);
      const near = live.filter(({ region }) => region === NORTH);
      assert.ok(run.view.countInstancesSharingLimits(NORTH) >= near.length + 1);
    });
  });

  it("picks receivers and responsive members among the live members only", () => {
    checkAfterEach((run) => {
      const live = new Set(run.view.listLive(run.nowMs).map(({ id }) => id));
      [
        ...run.view.listRemoteReceivers(2, run.nowMs),
        ...run.view.listResponsive(SOUTH, run.nowMs),
      ].forEach(({ id }) => assert.ok(live.has(id)));
    });
  });
});
