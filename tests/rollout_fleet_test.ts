// Guards against a bad version that gets more calls than the fleet's bound or longer than allowed, a good one that is rolled back beside faults of both versions, and callers who notice either.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BOUNDS } from "./rollout_fleet_fixture.ts";
import {
  type Fault,
  ORDER_MS,
  type RolloutDay,
  type RolloutResult,
  runRollout,
} from "./rollout_day_fixture.ts";

const FAIL = { kind: "answer", afterMs: 30, status: 500 } as const;

/** Each kind of bad version that the requirements name. */
const BAD: Readonly<Record<string, Fault>> = {
  "fails for a part of the calls": (_, answer, __, random) =>
    random() < 0.25 ? FAIL : answer(),
  "is several times slower": (_, answer) => answer(4),
  "fails only from the fourth second on": (_, answer, sinceMs, random) =>
    sinceMs > 4_000 && random() < 0.4 ? FAIL : answer(),
  "fails only under load": ({ running }, answer) =>
    running > 2 ? FAIL : answer(),
  "fails on the rarest route only": ({ target }, answer, _, random) =>
    target.startsWith("/r/") && random() < 0.8 ? FAIL : answer(),
  "streams with gaps that grow": (_, answer) => {
    const action = answer();
    return action.kind === "stream" ? { ...action, gapMs: 90 } : action;
  },
  "cuts its answers": (_, answer, __, random) => {
    if (random() >= 0.25) return answer();
    const action = answer();
    return action.kind === "stream"
      ? { ...action, cutAfter: 2 }
      : { kind: "lose", afterMs: 30 };
  },
};

function assertContained(result: RolloutResult): void {
  const { arrivals, exposed, lateMs, phase, unordered } = result;
  const { exposureShare, exposureSlack, rollbackMs } = BOUNDS;
  const most = exposureShare * arrivals + exposureSlack;
  assert.equal(unordered, 0);
  assert.ok(exposed <= most, `${exposed} of ${arrivals} exposed`);
  assert.ok(lateMs <= rollbackMs, `still sent after ${lateMs} ms`);
  assert.notEqual(phase, "completed");
}

/** Asserts what callers may expect while a version is tried, whatever it does. */
function assertCallersUnharmed({ outcomes }: RolloutResult): void {
  outcomes.forEach(({ outcome: { body = "", status }, route, versions }) => {
    if (route === "/a/" || route === "/r/") assert.equal(status, 200);
    if (route === "/n/") assert.ok(versions.length <= 1);
    const begunBy = new Set(
      [...body.matchAll(/data: (v\d)/g)].map(([, v]) => v),
    );
    assert.ok(begunBy.size <= 1, `one stream of ${[...begunBy].join(" ")}`);
  });
}

/** A fault that both versions have alike: errors, lost answers, and crashes of servers. */
const FAULT_OF_BOTH: Fault = (_, answer, sinceMs, random) => {
  const drawn = random();
  if (drawn < 0.03) return FAIL;
  if (drawn < 0.04) return { kind: "lose", afterMs: 30 };
  return sinceMs > 3_000 && drawn < 0.041
    ? { kind: "end", afterMs: 30 }
    : answer();
};

async function run(name: string, day: RolloutDay): Promise<RolloutResult> {
  const result = await runRollout(day);
  const { outcomes, ...figures } = result;
  const served = outcomes.filter(({ outcome }) => outcome.status === 200);
  const share = (served.length / outcomes.length).toFixed(4);
  if (process.env["ROLLOUT_FIGURES"] !== undefined) {
    console.log(name, JSON.stringify({ ...figures, share }));
  }
  return result;
}

const NINE = { instances: 9, callsPerSecond: 250 } as const;
const SIXTY = { instances: 60, callsPerSecond: 600, servers: 16 } as const;

describe("a bad version, at nine instances", () => {
  Object.entries(BAD).forEach(([name, fault]) => {
    it(`that ${name} is rolled back within its bounds`, async () => {
      const result = await run(name, { ...NINE, fault });
      assertContained(result);
      assertCallersUnharmed(result);
      assert.equal(result.phase, "rolled-back");
    });
  });

  const fault: Fault = (_, answer, sinceMs, random) =>
    sinceMs > 3_000 && random() < 0.5 ? FAIL : answer();

  it("gets no more calls while the store is silent, and is recorded later", async () => {
    const result = await run("silent store", {
      ...NINE,
      fault,
      disturb: (fleet, sinceMs) => {
        fleet.isStoreUp = sinceMs < 2_500 || sinceMs > 13_000;
      },
    });
    assertContained(result);
    assert.ok(result.lastExposedMs < 3_000 + BOUNDS.rollbackMs);
    assert.ok(result.endedMs! > 13_000);
    assert.equal(result.phase, "rolled-back");
  });

  [false, true].forEach((isStoreSilent) => {
    it(
      `that turns bad in the ramp gets no call later than the bound after its 50th bad response, store ${
        isStoreSilent ? "silent" : "up"
      }`,
      async () => {
        const result = await run(`bad in the ramp, ${isStoreSilent}`, {
          ...NINE,
          callsPerSecond: 500,
          fault: (_, answer, sinceMs, random) =>
            sinceMs > 6_600 && random() < 0.7 ? FAIL : answer(),
          disturb: (fleet, sinceMs) => {
            fleet.isStoreUp = !isStoreSilent || sinceMs < 6_600;
          },
        });
        assertContained(result);
        assert.ok(result.badResponses >= 50, "the bound was put to the test");
      },
    );
  });

  it("keeps to its exposure while single instances restart", async () => {
    const result = await run("restarts of single instances", {
      ...NINE,
      fault,
      disturb: (fleet, sinceMs) => {
        if (sinceMs % 500 !== 0) return;
        fleet.restart(fleet.addresses[(sinceMs / 500) % 9]!);
      },
    });
    assertContained(result);
    assert.equal(result.phase, "rolled-back");
  });

  it("keeps to its exposure while all instances restart together, again and again", async () => {
    const result = await run("restarts of all instances", {
      ...NINE,
      fault,
      disturb: (fleet, sinceMs) => {
        if (sinceMs % 1_500 === 0) {
          fleet.addresses.forEach((each) => fleet.restart(each));
        }
      },
    });
    assertContained(result);
  });

  it("is contained while half of the reports are lost", async () => {
    const result = await run("lost reports", {
      ...NINE,
      fault,
      fleet: { lostShare: 0.5 },
    });
    assertContained(result);
    assertCallersUnharmed(result);
    assert.equal(result.phase, "rolled-back");
  });

  it("is contained while a region is cut off from the others", async () => {
    const isWest = (name: string) => name.startsWith("west");
    const result = await run("region cut off", {
      ...NINE,
      fault,
      fleet: { isCut: (from, to) => isWest(from) !== isWest(to) },
    });
    assertContained(result);
    assert.equal(result.phase, "rolled-back");
  });
});

describe("a good version", () => {
  [NINE, SIXTY].forEach((size) => {
    it(`is completed in time beside faults of both versions, at ${size.instances} instances`, async () => {
      const result = await run(`good at ${size.instances}`, {
        ...size,
        faultOfBoth: FAULT_OF_BOTH,
        fleet: { replacedAfterMs: 1_000 },
      });
      assert.equal(result.phase, "completed");
      assert.ok(result.endedMs! <= ORDER_MS);
      assert.equal(result.unordered, 0);
    });
  });

  it("costs no caller an answer, although the old servers stop at once when it is complete", async () => {
    const result = await run("good without faults", NINE);
    assert.equal(result.phase, "completed");
    assertCallersUnharmed(result);
    const lost = result.outcomes.filter(({ outcome }) =>
      outcome.status !== 200
    );
    assert.deepEqual(lost, []);
  });
});

describe("a bad version, at sixty instances", () => {
  ["fails for a part of the calls", "is several times slower"].forEach(
    (name) => {
      it(`that ${name} is rolled back within its bounds`, async () => {
        const fault = BAD[name]!;
        const result = await run(`${name}, 60`, { ...SIXTY, fault });
        assertContained(result);
        assertCallersUnharmed(result);
        assert.equal(result.phase, "rolled-back");
      });
    },
  );
});
