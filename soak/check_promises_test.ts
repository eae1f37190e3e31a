import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createRecordedBody,
  createRecordedEvents,
  type RecordedRun,
  STREAM_EVENTS,
} from "../standin/recording_server.ts";
import { ROTATING_TEAM, STEADY_TEAM } from "./caller.ts";
import { checkPromises, type PromiseName } from "./check_promises.ts";
import type { Observation, ObservedCall } from "./observation.ts";

const STREAM = Array.from(
  { length: STREAM_EVENTS },
  (_, at) => `id: ${at + 1}\ndata: c1 ${at + 1}\n\n`,
);

function createCall(more: Partial<ObservedCall> = {}): ObservedCall {
  return {
    callId: "c1",
    kind: "idempotent",
    instance: "i1",
    start: 1,
    key: STEADY_TEAM.key,
    sentMs: 20_000,
    endedMs: 20_030,
    end: {
      kind: "answered",
      status: 200,
      isSigned: true,
      mayBeCut: false,
      body: createRecordedBody("c1", "work"),
    },
    ...more,
  };
}

function createAnswer(status: number, body: string, isSigned = true) {
  return { kind: "answered", status, isSigned, mayBeCut: false, body } as const;
}

function createVersionCall(version: number, start = 1): ObservedCall {
  const body = createRecordedBody("c1", `version-${version}`);
  return createCall({
    kind: "version",
    start,
    end: createAnswer(200, body),
  });
}

function createRun(more: Partial<RecordedRun> = {}): RecordedRun {
  return {
    callId: "c1",
    server: "s1",
    service: "work",
    version: "v1",
    atMs: 20_000,
    resumedAfter: undefined,
    crashesServer: false,
    hasCrashingPart: false,
    team: STEADY_TEAM.name,
    hasKey: false,
    cutsAnswer: false,
    ...more,
  };
}

/**
 * Checks an observation without violations, with the given fields replaced, and returns the
 * broken promises.
 */
function check(more: Partial<Observation>): readonly PromiseName[] {
  const violations = checkPromises({
    calls: [createCall()],
    runs: [],
    abandonedCalls: [],
    serverDepartures: [],
    instanceDepartures: [],
    directories: [],
    processes: [],
    stops: [],
    disturbedSpans: [],
    pauses: [],
    cutOffs: [],
    serverSilences: [],
    serverDisturbances: [],
    advertisements: [],
    refusals: [],
    rejections: [],
    revokedKeys: [],
    rollouts: [],
    storeRestoresMs: [],
    lastVersion: 1,
    recoveredFromMs: 10_000,
    ...more,
  });
  return [...new Set(violations.map(({ promise }) => promise))];
}

describe("checkPromises()", () => {
  it("finds a call at a version that nobody ordered", () => {
    assert.deepEqual(check({ runs: [createRun({ version: "v2" })] }), [
      "versions without an order get no calls",
    ]);
  });

  describe("keys of teams", () => {
    const promise = ["calls run for the team that holds their key"];
    const stale = createCall({ kind: "rotating", key: "key-1" });
    const late = {
      calls: [createCall(), stale],
      runs: [createRun({ team: ROTATING_TEAM })],
      revokedKeys: [{ key: "key-1", atMs: 9_000 }],
    };

    it("finds a server that received the key of a caller", () => {
      assert.deepEqual(check({ runs: [createRun({ hasKey: true })] }), promise);
    });

    it("finds a call that ran for another team, or for none", () => {
      ["forged", ROTATING_TEAM, undefined].forEach((team) =>
        assert.deepEqual(check({ runs: [createRun({ team })] }), promise)
      );
    });

    it("finds a run of a call with a key that no team held", () => {
      const calls = [createCall(), createCall({ kind: "stranger" })];
      assert.deepEqual(check({ calls, runs: [createRun()] }), promise);
    });

    it("finds a run of a call whose key was revoked long before", () => {
      assert.deepEqual(check(late), promise);
      const revokedKeys = [{ key: "key-1", atMs: 12_000 }];
      assert.deepEqual(check({ ...late, revokedKeys }), []);
    });

    it("allows a revoked key where the instance was stalled in the meantime", () => {
      const pauses = [{ instance: "i1", fromMs: 15_000, toMs: 16_000 }];
      assert.deepEqual(check({ ...late, pauses }), []);
    });
  });

  it("finds nothing in a run without violations", () => {
    assert.deepEqual(check({ runs: [createRun()] }), []);
  });

  describe("whole answers", () => {
    const cases: readonly (readonly [string, Partial<ObservedCall>])[] = [
      ["a body of another call", {
        end: createAnswer(200, createRecordedBody("c2", "work")),
      }],
      ["a success without the signature of a server", {
        end: createAnswer(200, createRecordedBody("c1", "work"), false),
      }],
      ["a truncated stream that looks complete", {
        kind: "stream",
        end: createAnswer(200, STREAM.slice(0, 5).join("")),
      }],
      ["a stream with a duplicate event", {
        kind: "stream",
        end: createAnswer(200, STREAM[0] + STREAM.join("")),
      }],
      ["an answer without a length that is no beginning of the call's own", {
        end: {
          ...createAnswer(200, createRecordedBody("c2", "work").slice(0, 40)),
          mayBeCut: true,
        },
      }],
      ["a stream without a length that lacks an event", {
        kind: "stream",
        end: { ...createAnswer(200, STREAM[1]!), mayBeCut: true },
      }],
      ["an interrupted stream that lacks an event", {
        kind: "stream",
        end: { kind: "broken", body: STREAM[0]! + STREAM[2]! },
      }],
    ];
    cases.forEach(([title, more]) =>
      it(`finds ${title}`, () =>
        assert.deepEqual(
          check({ calls: [createCall(), createCall(more)], recoveredFromMs: 0 })
            .filter((promise) => promise === "whole answers"),
          ["whole answers"],
        ))
    );
  });

  it("allows an answer without a length that its server may have cut", () => {
    const body = createRecordedBody("c1", "work");
    const calls = Array.from(
      { length: body.length + 1 },
      (_, size) =>
        createCall({
          end: { ...createAnswer(200, body.slice(0, size)), mayBeCut: true },
        }),
    );
    const runs = [createRun({ cutsAnswer: true })];
    assert.deepEqual(check({ calls, runs }), []);
    const framed = [createRun()];
    assert.deepEqual(
      [...new Set(check({ calls, runs: framed }))],
      ["whole answers"],
    );
  });

  const answersOnce = {
    "non-idempotent": createRecordedBody("c1", "work"),
    "single-stream": createRecordedEvents("c1").join(""),
  } as const;
  const kindsOnce = ["non-idempotent", "single-stream"] as const;
  kindsOnce.forEach((kind) => {
    it(`finds a call that must run once and ran twice, ${kind}`, () => {
      const end = createAnswer(200, answersOnce[kind]);
      const calls = [createCall({ kind, end })];
      const runs = [createRun(), createRun({ server: "s2" })];
      assert.deepEqual(check({ calls, runs }), ["at most once"]);
      assert.deepEqual(check({ runs }), []);
    });
  });

  it("finds a call that was refused as not run but did run", () => {
    const refused = createCall({
      kind: "non-idempotent",
      end: createAnswer(503, "", false),
    });
    const calls = [createCall(), refused];
    assert.deepEqual(
      check({ calls, runs: [createRun()], recoveredFromMs: 30_000 })
        .filter((promise) =>
          promise === "calls refused as not run did not run"
        ),
      ["calls refused as not run did not run"],
    );
  });

  it("finds a late run at a departed server, unless a fault kept instances from learning of the departure", () => {
    const serverDepartures = [{ id: "s1", atMs: 12_000, untilMs: Infinity }];
    const runs = [createRun()];
    assert.deepEqual(check({ serverDepartures, runs }), [
      "no new calls at departed servers",
    ]);
    const disturbedSpans = [{ fromMs: 14_000, toMs: 15_000 }];
    assert.deepEqual(check({ serverDepartures, runs, disturbedSpans }), []);
  });

  it("finds an older configuration after a newer one within one start of an instance", () => {
    const back = [createVersionCall(3), createVersionCall(2)];
    assert.ok(
      check({ calls: back, lastVersion: 2 })
        .includes("configuration never reverts"),
    );
    const restarted = [createVersionCall(3), createVersionCall(2, 2)];
    assert.deepEqual(check({ calls: restarted, lastVersion: 2 }), []);
  });

  it("finds a directory that lists a dead instance after the allowed delay", () => {
    const instanceDepartures = [{ id: "h1", atMs: 0, untilMs: 60_000 }];
    const name = (atMs: number) =>
      check({
        instanceDepartures,
        directories: [{ atMs, hosts: ["h1"], forbiddenHosts: [] }],
      });
    assert.deepEqual(name(5_000), []);
    assert.deepEqual(name(13_000), ["directory lists no dead instance"]);
    assert.deepEqual(name(61_000), []);
  });

  it("finds a directory that directs bound calls outside their home regions", () => {
    const checkHosts = (...forbiddenHosts: string[]) =>
      check({
        directories: [{ atMs: 1, hosts: ["h1", "h2"], forbiddenHosts }],
      });
    assert.deepEqual(checkHosts(), []);
    assert.deepEqual(checkHosts("h2"), [
      "directory keeps bound calls in their home regions",
    ]);
  });

  it("finds an answer that a graceful shutdown cut off, if no other fault was active", () => {
    const calls = [
      createCall({ end: { kind: "broken", body: "" }, endedMs: 20_100 }),
    ];
    const stop = { instance: "i1", atMs: 20_050 };
    const checkStop = (isUndisturbed: boolean) =>
      check({
        calls,
        stops: [{ ...stop, isUndisturbed }],
        recoveredFromMs: 30_000,
      })
        .includes("a graceful shutdown interrupts no call");
    assert.equal(checkStop(true), true);
    assert.equal(checkStop(false), false);
  });

  it("finds a server that runs a call after its caller disconnected", () => {
    const checkDisconnect = (abandonedMs: number) =>
      check({
        abandonedCalls: [{ callId: "c1", abandonedMs }],
        runs: [createRun()],
      });
    assert.deepEqual(checkDisconnect(19_900), []);
    assert.deepEqual(checkDisconnect(19_000), [
      "calls of disconnected callers do not run",
    ]);
  });

  it("finds runs of a call that crashed three servers, once each instance has to quarantine it", () => {
    const crashes = ["s1", "s2", "s3"].map((server) =>
      createRun({ crashesServer: true, server })
    );
    const later = (afterMs: number, count: number) =>
      Array.from(
        { length: count },
        () =>
          createRun({
            crashesServer: true,
            server: "s4",
            atMs: 20_000 + afterMs,
          }),
      );
    const promise: PromiseName = "calls that crash servers are quarantined";
    assert.deepEqual(check({ runs: [...crashes, ...later(4_900, 9)] }), []);
    assert.deepEqual(check({ runs: [...crashes, ...later(5_100, 3)] }), []);
    assert.deepEqual(check({ runs: [...crashes, ...later(5_100, 4)] }), [
      promise,
    ]);
    const pause = { fromMs: 22_000, toMs: 24_000 };
    const runs = [...crashes, ...later(5_100, 4)];
    const pauses = (instance: string) => [{ ...pause, instance }];
    assert.deepEqual(check({ runs, pauses: pauses("i1") }), []);
    assert.deepEqual(check({ runs, pauses: pauses("i2") }), [promise]);
  });

  it("finds runs of calls with a prompt part that crashed five servers, and counts equal calls apart", () => {
    const createCrash = (server: number, atMs = 20_000) =>
      createRun({
        crashesServer: true,
        hasCrashingPart: true,
        server: `s${server}`,
        atMs,
      });
    const crashes = [1, 2, 3, 4, 5].map((server) => createCrash(server));
    const later = (afterMs: number, count: number) =>
      Array.from({ length: count }, () => createCrash(6, 20_000 + afterMs));
    const promise: PromiseName =
      "prompt parts that crash servers are quarantined";
    assert.deepEqual(check({ runs: [...crashes, ...later(4_900, 9)] }), []);
    assert.deepEqual(check({ runs: [...crashes, ...later(5_100, 3)] }), []);
    assert.deepEqual(check({ runs: [...crashes, ...later(5_100, 4)] }), [
      promise,
    ]);
    const four = crashes.slice(1);
    assert.deepEqual(check({ runs: four }), []);
  });

  it("finds out when half of the calls that share other prompt parts are refused as quarantined", () => {
    const runs = [
      createRun({ crashesServer: true, hasCrashingPart: true, atMs: 1_000 }),
    ];
    const quarantined = '{"error":{"type":"quarantined","message":""}}';
    const createCalls = (refused: number) =>
      Array.from({ length: 40 }, (_, nth) =>
        createCall({
          callId: `sound ${nth}`,
          sentMs: 11_500 + nth,
          ...(nth < refused ? { end: createAnswer(503, quarantined) } : {}),
        }));
    const checkRefused = (refused: number) =>
      check({
        runs,
        calls: [
          ...createCalls(refused),
          createCall({ callId: "bad", kind: "ending-part", sentMs: 12_000 }),
        ],
      }).filter((promise) =>
        promise === "calls that share other prompt parts are served"
      );
    assert.deepEqual(checkRefused(20), []);
    assert.deepEqual(checkRefused(21), [
      "calls that share other prompt parts are served",
    ]);
  });

  it("finds late calls to servers that advertise that they are leaving or ask for a cool-down", () => {
    const promise: PromiseName = "advertised states of servers are respected";
    const times = (from: number, count: number) =>
      Array.from({ length: count }, (_, at) => from + at);
    const advertisement = { server: "s1", fromMs: 20_000, toMs: 24_000 };
    const checkCoolDown = (late: number) =>
      check({
        advertisements: [{ ...advertisement, kind: "rest" }],
        refusals: [...times(20_100, 60), ...times(21_000, late)]
          .map((atMs) => ({ server: "s1", atMs })),
      });
    assert.deepEqual(checkCoolDown(24), []);
    assert.deepEqual(checkCoolDown(25), [promise]);
    const checkLeaving = (late: number) =>
      check({
        advertisements: [{ ...advertisement, kind: "leaving" }],
        runs: [...times(20_100, 60), ...times(21_000, late)]
          .map((atMs) => createRun({ atMs })),
      });
    assert.deepEqual(checkLeaving(24), []);
    assert.deepEqual(checkLeaving(25), [promise]);
  });

  it("finds a server that receives more calls than its advertised limit allows", () => {
    const promise = "advertised limits of servers are respected";
    const check2PerSecond = (late: number) =>
      check({
        advertisements: [{
          server: "s1",
          kind: "limit",
          perSecond: 2,
          fromMs: 20_000,
          toMs: 26_000,
        }],
        runs: [
          createRun({ atMs: 20_100 }),
          ...Array.from(
            { length: late },
            (_, at) => createRun({ atMs: 21_000 + at }),
          ),
        ],
      });
    // The limit allows 17 calls in 4 s, and 24 more may arrive late.
    assert.deepEqual(check2PerSecond(41), []);
    assert.deepEqual(check2PerSecond(42), [promise]);
  });

  it("finds a server that fails because it rejects too many calls a second", () => {
    const promise = "servers do not fail because of rejections";
    const checkRejections = (seconds: readonly number[], perSecond: number) =>
      check({
        rejections: seconds.flatMap((second) =>
          Array.from(
            { length: perSecond },
            (_, at) => ({ server: "s1", atMs: 1_000 * second + at }),
          )
        ),
        advertisements: [{
          server: "s1",
          kind: "brittle",
          perSecond: 6,
          fromMs: 20_000,
          toMs: 30_000,
        }],
      });
    assert.deepEqual(checkRejections([22, 24, 26, 28], 6), []);
    assert.deepEqual(checkRejections([22, 24], 7), []);
    assert.deepEqual(checkRejections([22, 24, 26], 7), [promise]);
  });

  it("finds callers of cut-off instances that are served far worse than others", () => {
    const promise = "callers of cut-off instances are served";
    const refused = createAnswer(503, "refused");
    const createTries = (count: number, instance: string, served: number) =>
      Array.from({ length: count }, (_, at) =>
        createCall({
          instance,
          sentMs: 6_000,
          ...(at < served ? {} : { end: refused }),
        }));
    const checkServed = (
      served: number,
      paused: string | undefined = undefined,
      others = 200,
      runsMs: readonly number[] = [],
    ) =>
      check({
        runs: runsMs.map((atMs) => createRun({ atMs })),
        calls: [
          createCall(),
          ...createTries(100, "i1", served),
          ...createTries(others, "i2", others),
        ],
        cutOffs: [{ instances: ["i1"], fromMs: 500, toMs: 9_000 }],
        pauses: paused === undefined
          ? []
          : [{ instance: paused, fromMs: 0, toMs: 5_000 }],
      });
    assert.deepEqual(checkServed(67), []);
    assert.deepEqual(checkServed(66), [promise]);
    assert.deepEqual(checkServed(66, "i1"), []);
    assert.deepEqual(checkServed(66, "i2"), []);
    assert.deepEqual(checkServed(66, "i3"), [promise]);
    assert.deepEqual(checkServed(66, undefined, 0), []);
    // Nobody is served while no server runs a call.
    assert.deepEqual(checkServed(66, undefined, 200, [5_700, 6_200]), []);
    assert.deepEqual(checkServed(66, undefined, 200, [5_701, 6_200]), [
      promise,
    ]);
  });

  it("finds unserved calls and old configuration versions after the faults", () => {
    const failed = createCall({ end: { kind: "not-connected" } });
    assert.deepEqual(check({ calls: [createCall(), failed] }), [
      "service after the faults",
    ]);
    assert.deepEqual(check({ calls: [] }), ["service after the faults"]);
    assert.deepEqual(
      check({ calls: [createVersionCall(1)], lastVersion: 2 }),
      ["service after the faults"],
    );
  });

  it("finds a process that uses too much memory", () => {
    const process = { instance: "i1", memoryMb: 500, descriptors: 40 };
    assert.deepEqual(check({ processes: [process] }), ["no growth"]);
  });
});
