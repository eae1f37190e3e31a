import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../clock/mod.ts";
import {
  toAttemptId,
  toBackendId,
  toInstanceId,
  toRegionId,
} from "../ids/mod.ts";
import { CreditBalance, CreditLedger } from "./credits.ts";
import { decideRegion } from "./decide_region.ts";
import {
  applyHealthEvent,
  INITIAL_HEALTH,
  pickHealthy,
} from "./engine_health.ts";
import { EngineModel } from "./engine_model.ts";
import { pickEngine } from "./pick_engine.ts";
import { pickSubset } from "./pick_subset.ts";
import { PrefixHints } from "./prefix_hints.ts";

const SIZE = {
  promptTokens: 400,
  outputTokens: 20,
  prefix: "p",
  prefixTokens: 300,
};
const WEIGHTS = { latency: 1, cost: 0, firstTokenMs: 770 };

function createEngine(
  name: string,
  overrides: { isLeaving?: boolean; price?: number } = {},
) {
  return new EngineModel({
    id: toBackendId(name),
    service: "s",
    region: toRegionId("r"),
    failureDomain: "fd",
    url: `http://${name}`,
    isLeaving: overrides.isLeaving ?? false,
    slots: 8,
    pricePerSecond: overrides.price ?? 1,
    checksFencing: false,
  });
}

function pick(
  engines: readonly EngineModel[],
  weights = WEIGHTS,
  excluded = new Set<string>(),
) {
  return pickEngine({
    engines,
    size: SIZE,
    weights,
    dispatcherCount: 1,
    nowMs: 1_000,
    random: createRandom(1),
    excluded,
  })?.server.id;
}

describe("pickEngine()", () => {
  it("returns undefined when all engines are leaving or excluded", () => {
    assert.equal(pick([createEngine("a", { isLeaving: true })]), undefined);
    assert.equal(pick([createEngine("a")], WEIGHTS, new Set(["a"])), undefined);
  });

  it("counts dispatches that no report includes yet", () => {
    const [busy, idle] = [createEngine("busy"), createEngine("idle")];
    Array.from({ length: 6 }).forEach((_, at) =>
      busy.recordDispatch(toAttemptId(String(at)), {
        ...SIZE,
        prefix: undefined,
      }, 900)
    );
    assert.equal(pick([busy, idle]), "idle");
  });

  it("prefers the engine with the cached prefix when it is idle", () => {
    const [cold, warm] = [createEngine("cold"), createEngine("warm")];
    warm.recordDispatch(toAttemptId("1"), SIZE, 100);
    warm.recordEnd(toAttemptId("1"), { event: { kind: "succeeded" } }, 200);
    warm.applyReport({ running: 0, queued: 0, queuedTokens: 0, lagMs: 0 }, 300);
    assert.equal(pick([cold, warm]), "warm");
  });

  it("prefers the cheaper engine when the cost weight is high", () => {
    const engines = [
      createEngine("dear", { price: 5 }),
      createEngine("cheap", { price: 1 }),
    ];
    assert.equal(pick(engines, { ...WEIGHTS, latency: 0.1, cost: 3 }), "cheap");
  });

  it("ignores a load report that is older than the last one", () => {
    const engine = createEngine("a");
    engine.applyReport(
      { running: 1, queued: 0, queuedTokens: 0, lagMs: 0 },
      1_000,
    );
    engine.applyReport(
      { running: 8, queued: 9, queuedTokens: 0, lagMs: 500 },
      1_100,
    );
    assert.equal(engine.estimateSequenceCount(1, 1_100), 1);
  });
});

describe("PrefixHints", () => {
  it("drops all hints after a gap in the cache events", () => {
    const hints = new PrefixHints();
    hints.record("p", { tokens: 100, seenMs: 0 });
    assert.equal(hints.applyEvent(5, []), true);
    assert.equal(hints.applyEvent(6, []), true);
    assert.equal(hints.readTokens("p", 10), 100);
    assert.equal(hints.applyEvent(8, []), false);
    assert.equal(hints.readTokens("p", 10), 0);
  });
});

describe("pickHealthy()", () => {
  const createEjected = (health = INITIAL_HEALTH) =>
    [1, 2, 3].reduce(
      (known) => applyHealthEvent(known, { kind: "failed" }, 0),
      health,
    );

  it("leaves out an ejected server, but none when most are ejected", () => {
    const ok = { health: INITIAL_HEALTH };
    const bad = { health: createEjected() };
    assert.deepEqual(pickHealthy([ok, ok, bad], 10), [ok, ok]);
    assert.equal(pickHealthy([ok, bad, bad], 10).length, 3);
  });

  it("leaves out unreachable servers even when they are the majority", () => {
    const ok = { health: INITIAL_HEALTH };
    const unreachable = {
      health: applyHealthEvent(INITIAL_HEALTH, { kind: "unreachable" }, 0),
    };
    assert.deepEqual(
      pickHealthy([ok, unreachable, unreachable, unreachable], 10),
      [ok],
    );
  });
});

describe("decideRegion()", () => {
  const option = {
    region: toRegionId("away"),
    spare: 5,
    firstTokenMs: 50,
    ageMs: 100,
    linkMs: 50,
    credits: 1,
  };
  const request = {
    homeMs: 900,
    coldMs: 20,
    aimMs: 770,
    wasAway: false,
    options: [option],
  };

  it("stays in the home region while its estimate is far below the target", () => {
    assert.equal(decideRegion({ ...request, homeMs: 200 }).kind, "home");
  });

  it("needs credit for a remote region and ignores outdated or full ones", () => {
    assert.equal(decideRegion(request).kind, "away");
    const asks = decideRegion({
      ...request,
      options: [{ ...option, credits: 0 }],
    });
    assert.equal(asks.kind, "home-and-ask");
    const old = decideRegion({
      ...request,
      options: [{ ...option, ageMs: 60_000 }],
    });
    assert.equal(old.kind, "home");
    const full = decideRegion({
      ...request,
      options: [{ ...option, spare: 0 }],
    });
    assert.equal(full.kind, "home");
  });

  it("returns to the home region at a lower estimate than it leaves it", () => {
    const between = { ...request, homeMs: 250 };
    assert.equal(decideRegion(between).kind, "home");
    assert.equal(decideRegion({ ...between, wasAway: true }).kind, "away");
  });
});

describe("CreditLedger", () => {
  it("limits all outstanding credits to its share of the free capacity", () => {
    const ledger = new CreditLedger();
    const counts = Array.from({ length: 21 }, (_, index) =>
      ledger.grant(
        { to: toInstanceId(`i${index}`), service: "s", wanted: 8 },
        { spare: 40, gateways: 2 },
        100_000,
      ).count);
    assert.equal(counts.reduce((sum, count) => sum + count, 0), 10);
  });

  it("accepts each credit once, from its recipient, until it expires", () => {
    const ledger = new CreditLedger();
    const to = toInstanceId("i");
    ledger.grant(
      { to, service: "s", wanted: 1 },
      { spare: 40, gateways: 1 },
      100_000,
    );
    assert.equal(ledger.admit(toInstanceId("other"), "s", 100_100), false);
    assert.equal(ledger.admit(to, "s", 100_100), true);
    assert.equal(ledger.admit(to, "s", 100_100), false);
    ledger.grant(
      { to, service: "s", wanted: 1 },
      { spare: 40, gateways: 1 },
      100_200,
    );
    assert.equal(ledger.admit(to, "s", 110_000), false);
  });

  it("grants few credits at the start of a ramp", () => {
    const ledger = new CreditLedger();
    ledger.startRamp(100_000);
    const request = { to: toInstanceId("i"), service: "s", wanted: 100 };
    assert.equal(
      ledger.grant(request, { spare: 100, gateways: 1 }, 100_100).count,
      5,
    );
  });
});

describe("CreditBalance", () => {
  it("counts and spends a credit only until it expires", () => {
    const purse = new CreditBalance();
    const region = toRegionId("r");
    const from = { region, gateway: toInstanceId("g"), askedMs: 0 };
    purse.record({ service: "s", count: 1, lifetimeMs: 2_000 }, from);
    assert.equal(purse.count(region, 900), 1);
    assert.equal(purse.count(region, 1_100), 0);
    assert.equal(purse.spend(region, 1_100), undefined);
  });
});

describe("pickSubset()", () => {
  it("uses each engine in about the same number of subsets", () => {
    const engines = Array.from({ length: 123 }, (_, index) => `e${index}`);
    const daemons = Array.from({ length: 15 }, (_, index) => `d${index}`);
    const counts = new Map(engines.map((engine) => [engine, 0]));
    daemons.forEach((self) =>
      pickSubset(engines, { daemons, self, size: 64 }).forEach((engine) =>
        counts.set(engine, counts.get(engine)! + 1)
      )
    );
    const values = [...counts.values()];
    assert.ok(Math.min(...values) >= 1);
    assert.ok(Math.max(...values) - Math.min(...values) <= 2, `${values}`);
  });
});
