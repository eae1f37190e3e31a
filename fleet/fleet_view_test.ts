import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId, toCallFingerprint, toRegionId } from "../ids/mod.ts";
import {
  compressReport,
  decodeReport,
  encodeCompressedHeader,
  encodeReport,
} from "./encode_report.ts";
import type { MemberRecord, MemberState } from "./fleet_report.ts";
import { FleetView, MAX_LAG_MS } from "./fleet_view.ts";
import { LOCAL_MEMBER_TIMEOUT_MS } from "./summary_reception.ts";
import { createReport } from "../tests/report_fixture.ts";
import {
  createFleetView,
  createMember as createNamedMember,
} from "../tests/member_fixture.ts";

const NORTH = toRegionId("north");
const SOUTH = toRegionId("south");

function createMember(
  name: string,
  state: MemberState = "ready",
  more: Partial<MemberRecord> = {},
): MemberRecord {
  return { ...createNamedMember(name), state, ...more };
}

function createView(): FleetView {
  const view = createFleetView();
  view.setState("ready");
  return view;
}

function listNames(members: readonly MemberRecord[]): readonly string[] {
  return members.map(({ id }) => id).sort();
}

describe("FleetView", () => {
  it("removes a silent member from the ready ones, and adds it again on its next report", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a"), 1), 0);
    assert.deepEqual(listNames(view.listReady(NORTH, 100)), ["a", "self"]);
    assert.deepEqual(
      listNames(view.listReady(NORTH, LOCAL_MEMBER_TIMEOUT_MS)),
      [
        "self",
      ],
    );
    view.applyReport(createReport(createMember("a"), 2), 5_000);
    assert.deepEqual(listNames(view.listReady(NORTH, 5_100)), ["a", "self"]);
  });

  it("removes a leaving member from the ready ones, even if later gossip calls it ready", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a"), 1), 0);
    view.applyReport(createReport(createMember("a", "leaving"), 2), 100);
    const gossip = [{ member: createMember("a"), ageMs: 0 }];
    view.applyReport(createReport(createMember("b"), 1, { gossip }), 200);
    assert.deepEqual(listNames(view.listReady(NORTH, 200)), ["b", "self"]);
  });

  it("lists a member that left as ready after it has restarted", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a", "leaving"), 9), 0);
    const again = createMember("a", "ready", { incarnation: "2" });
    view.applyReport(createReport(again, 1), 100);
    assert.deepEqual(listNames(view.listReady(NORTH, 100)), ["a", "self"]);
  });

  it("lists a leaving member as long as it accepts calls, and ignores older gossip about it", () => {
    const view = createView();
    const receive = (state: MemberState, sequence: number, atMs: number) =>
      view.applyReport(createReport(createMember("a", state), sequence), atMs);
    const listLeaving = (nowMs: number) =>
      listNames(view.listLeaving(NORTH, nowMs));
    receive("ready", 1, 0);
    receive("leaving", 2, 100);
    assert.deepEqual(listLeaving(200), ["a"]);
    receive("lingering", 3, 2_700);
    assert.deepEqual(listLeaving(2_800), ["a"]);
    const gossip = [{ member: createMember("a"), ageMs: 0 }];
    view.applyReport(
      createReport(createMember("b"), 1, { gossip }),
      2_900,
    );
    assert.deepEqual(listNames(view.listReady(NORTH, 2_900)), ["b", "self"]);
    assert.deepEqual(listLeaving(2_900), ["a"]);
    receive("leaving", 4, 3_000);
    assert.deepEqual(listLeaving(3_000), []);
  });

  it("learns from gossip whether a leaving member still accepts calls", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a", "leaving"), 1), 0);
    const receiveGossip = (
      state: MemberState,
      sequence: number,
      atMs: number,
    ) => {
      const gossip = [{ member: createMember("a", state), ageMs: 0 }];
      const report = createReport(createMember("b"), sequence, {
        gossip,
      });
      view.applyReport(report, atMs);
      return listNames(view.listLeaving(NORTH, atMs));
    };
    assert.deepEqual(receiveGossip("lingering", 1, 3_000), ["a"]);
    assert.deepEqual(receiveGossip("leaving", 2, 3_100), []);
  });

  it("lists a member that lingered as ready after it has restarted", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a", "lingering"), 9), 0);
    const again = createMember("a", "ready", { incarnation: "2" });
    view.applyReport(createReport(again, 1), 100);
    assert.deepEqual(listNames(view.listReady(NORTH, 100)), ["a", "self"]);
    assert.deepEqual(view.listLeaving(NORTH, 100), []);
  });

  it("ignores a report that is older than the last one of its sender", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a", "leaving"), 2), 0);
    view.applyReport(createReport(createMember("a"), 1), 10);
    assert.deepEqual(listNames(view.listReady(NORTH, 10)), ["self"]);
  });

  it("learns of members from gossip, and counts its age as silence", () => {
    const view = createView();
    const far = createMember("far", "ready", { region: SOUTH });
    const gossip = [{ member: far, ageMs: 1_000 }];
    view.applyReport(createReport(createMember("a"), 1, { gossip }), 0);
    assert.deepEqual(listNames(view.listReady(SOUTH, 0)), ["far"]);
    assert.deepEqual(listNames(view.listReady(SOUTH, 1_600)), []);
  });

  it("does not pick a member that has been silent for longer than the others of its region", () => {
    const view = createView();
    const [stopped, running] = ["far-1", "far-2"].map((name) =>
      createMember(name, "ready", { region: SOUTH })
    ) as [MemberRecord, MemberRecord];
    view.applyReport(createReport(stopped, 1), 0);
    view.applyReport(createReport(running, 1), 0);
    assert.equal(view.listResponsive(SOUTH, 900).length, 2);
    view.applyReport(createReport(running, 2), MAX_LAG_MS);
    assert.deepEqual(listNames(view.listResponsive(SOUTH, 900)), ["far-2"]);
    assert.equal(view.listReady(SOUTH, 900).length, 2);
    assert.deepEqual(view.listResponsive(NORTH, 900), []);
  });

  it("counts silent members among those that share a limit until they are removed", () => {
    const view = createView();
    view.applyReport(createReport(createMember("a"), 1), 0);
    const far = createMember("far", "ready", { region: SOUTH });
    view.applyReport(createReport(far, 1), 0);
    view.sweep(5_000);
    assert.equal(view.countInstancesSharingLimits(NORTH), 2);
    assert.equal(view.countInstancesSharingLimits(), 3);
    view.sweep(31_000);
    assert.equal(view.countInstancesSharingLimits(), 1);
  });

  it("counts at least the instances registered in the store among all that share a limit", () => {
    const view = createView();
    view.setRegisteredCount(60);
    assert.equal(view.countInstancesSharingLimits(), 60);
    assert.equal(view.countInstancesSharingLimits(NORTH), 1);
  });

  it("lists members that are ahead of this instance, those of the local region first", () => {
    const view = createView();
    const known = {
      configurationVersion: 2,
      store: { era: 0, revision: 9 },
      isStoreLost: false,
    };
    const far = createMember("far", "ready", { region: SOUTH });
    view.applyReport(createReport(far, 1, { known }), 0);
    view.applyReport(createReport(createMember("a"), 1, { known }), 0);
    const own = { ...known, store: { era: 0, revision: 8 } };
    assert.deepEqual(view.listAhead(own, 0).map(({ id }) => id), ["a", "far"]);
    assert.deepEqual(view.listAhead(known, 0), []);
  });
});

describe("decodeReport()", () => {
  const capacity = { ratedCores: 1.35, currentCores: 0.675 };
  const gossip = [
    { member: createMember("b"), ageMs: 5 },
    { member: createMember("c", "ready", { capacity }), ageMs: 7 },
  ];

  // Earlier versions drop a report with any field that they cannot read, and pass on only
  // the fields of a member that they know.
  it("reads capacities from fields that earlier versions read and pass on", () => {
    const unreachableServices = ["app"];
    const more = { capacity, unreachableServices };
    const sized = createReport(createMember("a", "ready", more), 1, {
      gossip,
      wantsSummary: false,
    });
    assert.deepEqual(decodeReport(encodeReport(sized)), sized);
    const { params } = JSON.parse(encodeReport(sized).toString("utf8"));
    assert.deepEqual(
      params[0].map((field: unknown) => typeof field),
      [...Array(5).fill("string"), "number", "string"],
    );
    assert.deepEqual(params.slice(10, 15), [[], [], [], 0, []]);
    const passedOn = decodeReport(Buffer.from(
      JSON.stringify({
        method: "fleet.report",
        params: params.slice(0, 10),
      }),
    ))!;
    const rated = { ratedCores: 1.35, currentCores: 1.35 };
    assert.deepEqual(passedOn.gossip[1]!.member.capacity, rated);
    assert.equal(passedOn.from.incarnation, sized.from.incarnation);
  });

  it("returns what was encoded", () => {
    const report = createReport(createMember("a"), 7, {
      scope: "region",
      gossip: [{ member: createMember("b", "leaving"), ageMs: 12 }],
      crashReports: [{
        call: toCallFingerprint("call"),
        servers: [toBackendId("s1"), toBackendId("s2")],
        ageMs: 30,
      }],
      limits: [
        { server: toBackendId("s1"), perSecond: 2.6, ageMs: 40 },
        { server: toBackendId("s2"), perSecond: undefined, ageMs: 50 },
      ],
      wantsGossip: true,
      wantsSummary: false,
    });
    assert.deepEqual(decodeReport(encodeReport(report)), report);
    const store = { era: 3, revision: 12 };
    const later = { ...report, known: { ...report.known, store } };
    assert.deepEqual(decodeReport(encodeReport(later)), later);
    const asking = { ...report, wantsGossip: false, wantsSummary: true };
    assert.deepEqual(decodeReport(encodeReport(asking)), asking);
    const cutOff = {
      ...createMember("b"),
      unreachableServices: ["lm", "app"],
    };
    const reporting = {
      ...report,
      from: cutOff,
      gossip: [{ member: cutOff, ageMs: 7 }],
    };
    assert.deepEqual(decodeReport(encodeReport(reporting)), reporting);
  });

  it("returns what was compressed, with the echo for its receiver", () => {
    const report = createReport(createMember("a"), 7, {
      scope: "summary",
      wantsSummary: false,
    });
    const datagram = Buffer.concat([
      encodeCompressedHeader(1_234),
      compressReport(report),
    ]);
    assert.deepEqual(decodeReport(datagram), { ...report, echo: 1_234 });
    // Truncated bytes are no report.
    [datagram.subarray(0, 20), datagram.subarray(0, 3), Buffer.from([1])]
      .forEach((bytes) => assert.equal(decodeReport(bytes), undefined));
  });

  it("returns undefined for bytes that are no report", () => {
    ["", "{}", "[1]", "null", '{"method":"fleet.report","params":[1,2]}']
      .forEach((text) =>
        assert.equal(decodeReport(Buffer.from(text)), undefined)
      );
  });
});
