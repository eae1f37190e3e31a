import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createRecordedBody,
  type RecordedRun,
  STREAM_EVENTS,
} from "../standin/recording_server.ts";
import { ROTATING_TEAM, STEADY_TEAM } from "./caller.ts";
import { checkPromises, type PromiseName } from "./check_promises.ts";
import type { Observation, SeenCall } from "./observation.ts";

const STREAM = Array.from(
  { length: STREAM_EVENTS },
  (_, at) => `id: ${at + 1}\ndata: c1 ${at + 1}\n\n`,
);

function createCall(more: Partial<SeenCall> = {}): SeenCall {
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
      body: createRecordedBody("c1", "work"),
    },
    ...more,
  };
}

function createAnswer(status: number, body: string, isSigned = true) {
  return { kind: "answered", status, isSigned, body } as const;
}

function createVersionCall(version: number, start = 1): SeenCall {
  const body = createRecordedBody("c1", `version-${version}`);
  return createCall({ kind: "version", start, end: createAnswer(200, body) });
}

function createRun(more: Partial<RecordedRun> = {}): RecordedRun {
  return {
    callId: "c1",
    server: "s1",
    service: "work",
    atMs: 20_000,
    resumedAfter: undefined,
    isEnding: false,
    team: STEADY_TEAM.name,
    hasKey: false,
    ...more,
  };
}

/** A run in which all went well, with what differs. */
function check(more: Partial<Observation>): readonly PromiseName[] {
  const violations = checkPromises({
    calls: [createCall()],
    runs: [],
    left: [],
    serverDepartures: [],
    instanceDepartures: [],
    directories: [],
    processes: [],
    stops: [],
    disturbedMs: [],
    pauses: [],
    words: [],
    refusals: [],
    keyEnds: [],
    lastVersion: 1,
    calmFromMs: 10_000,
    ...more,
  });
  return [...new Set(violations.map(({ promise }) => promise))];
}

describe("checkPromises()", () => {
  describe("finds, of keys,", () => {
    const promise = ["calls run for the team that holds their key"];
    const stale = createCall({ kind: "rotating", key: "key-1" });
    const late = {
      calls: [createCall(), stale],
      runs: [createRun({ team: ROTATING_TEAM })],
      keyEnds: [{ key: "key-1", atMs: 9_000 }],
    };

    it("a server that got one", () => {
      assert.deepEqual(check({ runs: [createRun({ hasKey: true })] }), promise);
    });

    it("a call that ran for another team, or for none", () => {
      ["forged", ROTATING_TEAM, undefined].forEach((team) =>
        assert.deepEqual(check({ runs: [createRun({ team })] }), promise)
      );
    });

    it("a key that nobody held", () => {
      const calls = [createCall(), createCall({ kind: "stranger" })];
      assert.deepEqual(check({ calls, runs: [createRun()] }), promise);
    });

    it("a key that was taken away long before", () => {
      assert.deepEqual(check(late), promise);
      const keyEnds = [{ key: "key-1", atMs: 12_000 }];
      assert.deepEqual(check({ ...late, keyEnds }), []);
    });

    it("none where the instance stood still meanwhile", () => {
      const pauses = [{ instance: "i1", fromMs: 15_000, toMs: 16_000 }];
      assert.deepEqual(check({ ...late, pauses }), []);
    });
  });

  it("finds nothing where all went well", () => {
    assert.deepEqual(check({ runs: [createRun()] }), []);
  });

  describe("whole answers", () => {
    const cases: readonly (readonly [string, Partial<SeenCall>])[] = [
      ["a body of another call", {
        end: createAnswer(200, createRecordedBody("c2", "work")),
      }],
      ["a success that no server signed", {
        end: createAnswer(200, createRecordedBody("c1", "work"), false),
      }],
      ["a stream that ends early and looks complete", {
        kind: "stream",
        end: createAnswer(200, STREAM.slice(0, 5).join("")),
      }],
      ["an event that comes twice", {
        kind: "stream",
        end: createAnswer(200, STREAM[0] + STREAM.join("")),
      }],
      ["a stream that broke off behind a gap", {
        kind: "stream",
        end: { kind: "broken", body: STREAM[0]! + STREAM[2]! },
      }],
    ];
    cases.forEach(([title, more]) =>
      it(`finds ${title}`, () =>
        assert.deepEqual(
          check({ calls: [createCall(), createCall(more)], calmFromMs: 0 })
            .filter((promise) => promise === "whole answers"),
          ["whole answers"],
        ))
    );
  });

  it("finds a call that ran twice and must not", () => {
    const calls = [createCall({ kind: "non-idempotent" })];
    const runs = [createRun(), createRun({ server: "s2" })];
    assert.deepEqual(check({ calls, runs }), ["at most once"]);
    assert.deepEqual(check({ runs }), []);
  });

  it("finds a refusal of a call that had run", () => {
    const refused = createCall({
      kind: "non-idempotent",
      end: createAnswer(503, "", false),
    });
    const calls = [createCall(), refused];
    assert.deepEqual(
      check({ calls, runs: [createRun()], calmFromMs: 30_000 })
        .filter((promise) => promise === "not run is true"),
      ["not run is true"],
    );
  });

  it("finds what reaches a server that left, unless somebody could not know", () => {
    const serverDepartures = [{ id: "s1", atMs: 12_000, untilMs: Infinity }];
    const runs = [createRun()];
    assert.deepEqual(check({ serverDepartures, runs }), [
      "nothing new at what left",
    ]);
    const disturbedMs = [{ fromMs: 14_000, toMs: 15_000 }];
    assert.deepEqual(check({ serverDepartures, runs, disturbedMs }), []);
  });

  it("finds a configuration that comes back, in one start of an instance", () => {
    const back = [createVersionCall(3), createVersionCall(2)];
    assert.ok(
      check({ calls: back, lastVersion: 2 })
        .includes("configuration never back"),
    );
    const restarted = [createVersionCall(3), createVersionCall(2, 2)];
    assert.deepEqual(check({ calls: restarted, lastVersion: 2 }), []);
  });

  it("finds a directory that names an instance long gone", () => {
    const instanceDepartures = [{ id: "h1", atMs: 0, untilMs: 60_000 }];
    const name = (atMs: number) =>
      check({
        instanceDepartures,
        directories: [{ atMs, hosts: ["h1"], astray: [] }],
      });
    assert.deepEqual(name(5_000), []);
    assert.deepEqual(name(13_000), ["directory names no dead instance"]);
    assert.deepEqual(name(61_000), []);
  });

  it("finds a directory that leads bound calls away from their homes", () => {
    const lead = (...astray: string[]) =>
      check({ directories: [{ atMs: 1, hosts: ["h1", "h2"], astray }] });
    assert.deepEqual(lead(), []);
    assert.deepEqual(lead("h2"), ["directory leads no call astray"]);
  });

  it("finds an answer that a stop cut off, where nothing else was wrong", () => {
    const calls = [
      createCall({ end: { kind: "broken", body: "" }, endedMs: 20_100 }),
    ];
    const stop = { instance: "i1", atMs: 20_050 };
    const checkStop = (isCalm: boolean) =>
      check({ calls, stops: [{ ...stop, isCalm }], calmFromMs: 30_000 })
        .includes("a stop cuts nothing");
    assert.equal(checkStop(true), true);
    assert.equal(checkStop(false), false);
  });

  it("finds a server that works for a caller that has gone", () => {
    const leave = (leftMs: number) =>
      check({ left: [{ callId: "c1", leftMs }], runs: [createRun()] });
    assert.deepEqual(leave(19_900), []);
    assert.deepEqual(leave(19_000), ["who has gone is not served"]);
  });

  it("finds runs of a call that has ended three servers, once each instance has to know", () => {
    const ended = ["s1", "s2", "s3"].map((server) =>
      createRun({ isEnding: true, server })
    );
    const later = (afterMs: number, count: number) =>
      Array.from(
        { length: count },
        () =>
          createRun({ isEnding: true, server: "s4", atMs: 20_000 + afterMs }),
      );
    const late: PromiseName = "a call that ends servers is kept from them";
    assert.deepEqual(check({ runs: [...ended, ...later(4_900, 9)] }), []);
    assert.deepEqual(check({ runs: [...ended, ...later(5_100, 3)] }), []);
    assert.deepEqual(check({ runs: [...ended, ...later(5_100, 4)] }), [late]);
    const pause = { fromMs: 22_000, toMs: 24_000 };
    const runs = [...ended, ...later(5_100, 4)];
    const pauses = (instance: string) => [{ ...pause, instance }];
    assert.deepEqual(check({ runs, pauses: pauses("i1") }), []);
    assert.deepEqual(check({ runs, pauses: pauses("i2") }), [late]);
  });

  it("finds calls of servers that said that they leave, or that they want rest", () => {
    const heeded: PromiseName = "what servers say of themselves is heeded";
    const times = (from: number, count: number) =>
      Array.from({ length: count }, (_, at) => from + at);
    const word = { server: "s1", fromMs: 20_000, toMs: 24_000 };
    const rest = (late: number) =>
      check({
        words: [{ ...word, kind: "rest" }],
        refusals: [...times(20_100, 60), ...times(21_000, late)]
          .map((atMs) => ({ server: "s1", atMs })),
      });
    assert.deepEqual(rest(24), []);
    assert.deepEqual(rest(25), [heeded]);
    const leave = (late: number) =>
      check({
        words: [{ ...word, kind: "leaving" }],
        runs: [...times(20_100, 60), ...times(21_000, late)]
          .map((atMs) => createRun({ atMs })),
      });
    assert.deepEqual(leave(24), []);
    assert.deepEqual(leave(25), [heeded]);
  });

  it("finds a server that gets more than the limit that it names", () => {
    const promise = "a server gets no more than the limit that it names";
    const check2PerSecond = (late: number) =>
      check({
        words: [{
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
    // 17 calls in 4 s, and as many as may come late.
    assert.deepEqual(check2PerSecond(41), []);
    assert.deepEqual(check2PerSecond(42), [promise]);
  });

  it("finds missing service and old versions after the faults", () => {
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

  it("finds processes that have grown", () => {
    const process = { instance: "i1", memoryMb: 500, descriptors: 40 };
    assert.deepEqual(check({ processes: [process] }), ["no growth"]);
  });
});
