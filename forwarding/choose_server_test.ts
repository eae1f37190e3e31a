import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LoadTracker } from "../fleet/mod.ts";
import type { HttpService } from "../http_routes/mod.ts";
import { createRandom } from "../clock/mod.ts";
import { toBackendId, toRegionId } from "../ids/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { type CallNeeds, ServerChooser } from "./choose_server.ts";
import { LearnedServers } from "./learned_servers.ts";
import { ServerReachability } from "./server_reachability.ts";
import { type PrefixCacheModel, toKeyedParts } from "./prefix_cache_model.ts";
import {
  createFleetView,
  createMember,
  createServerEntry,
} from "../tests/member_fixture.ts";

const NORTH = toRegionId("north");
const ENGINES: HttpService = {
  name: "lm",
  maxConnections: 100,
  warmUpMs: 3_000,
  warmUpCallsPerSecond: 10,
  engine: { maxSequences: 4, cacheTokens: 100_000 },
};
const PLAIN: HttpService = { ...ENGINES, name: "app", engine: undefined };

function start(servers: readonly string[], coldForMs = 0) {
  const loads = new LoadTracker();
  const fleet = createFleetView(createMember("self"), loads);
  const parts = {
    ownRegion: NORTH,
    registry: new ServerRegistry(),
    loads,
    learned: new LearnedServers({
      fleet,
      warmUpBounds: { overshoot: 1.5, slack: 3 },
    }),
  };
  servers.forEach((id) =>
    ["lm", "app"].forEach((service) =>
      parts.registry.put(
        createServerEntry(id, {
          id: toBackendId(`${service}-${id}`),
          service,
          slots: 2,
          coldForMs,
        }),
        0,
      )
    )
  );
  const chooser = new ServerChooser({
    ...parts,
    reachability: new ServerReachability(parts),
    random: createRandom(1),
    countOthers: () => 0,
  });
  const choose = (needs: CallNeeds, nowMs = 10) =>
    chooser.choose(needs, NORTH, nowMs)?.server.entry.id;
  return { ...parts, ...parts.learned, choose };
}

function createNeeds(more: Partial<CallNeeds> = {}): CallNeeds {
  return {
    service: ENGINES,
    route: "r",
    parts: [],
    promptTokens: 400,
    maxOutputTokens: 100,
    targetMs: 1_000,
    maxTokenGapMs: 400,
    tried: new Set(),
    ...more,
  };
}

const LONG = createNeeds({
  promptTokens: 17_000,
  parts: toKeyedParts([{ id: "shared", tokens: 13_000 }, {
    id: "own",
    tokens: 4_000,
  }]),
});

describe("ServerChooser", () => {
  it("prefers the engine with fewer prompt tokens to prefill", () => {
    const { choose, loads } = start(["a", "b"]);
    loads.addOwn(toBackendId("lm-a"), {
      calls: 1,
      pendingTokens: 9_000,
      memoryTokens: 9_000,
    });
    assert.equal(choose(createNeeds()), "lm-b");
  });

  it("prefers the engine that has cached the shared part, even if it is busier", () => {
    const { choose, loads, prefixes } = start(["a", "b"]);
    LONG.parts.forEach((part) =>
      prefixes.record(toBackendId("lm-a"), part, 90_000)
    );
    loads.addOwn(toBackendId("lm-a"), {
      calls: 2,
      pendingTokens: 2_000,
      memoryTokens: 2_000,
    });
    assert.equal(choose(LONG), "lm-a");
  });

  it("sends calls with the same prefix to the same engine before any has cached it", () => {
    const { choose } = start(["a", "b", "c"]);
    const first = choose(LONG);
    assert.equal(choose(LONG), first);
  });

  it("sends a long prompt to the engine where its prefill stalls fewer streams", () => {
    const { choose, loads } = start(["a", "b"]);
    const reading = { calls: 3, pendingTokens: 1_000, memoryTokens: 1_000 };
    loads.addOwn(toBackendId("lm-a"), reading);
    loads.addOwn(toBackendId("lm-b"), { ...reading, calls: 1 });
    assert.equal(choose(LONG), "lm-b");
  });

  describe("when an engine is full", () => {
    it("excludes it when all its sequences are taken", () => {
      const { choose, loads } = start(["a"]);
      loads.addOwn(toBackendId("lm-a"), {
        calls: 4,
        pendingTokens: 0,
        memoryTokens: 0,
      });
      assert.equal(choose(createNeeds()), undefined);
    });

    it("excludes it for calls that exceed the planned memory", () => {
      const { choose, loads } = start(["a"]);
      loads.addOwn(toBackendId("lm-a"), {
        calls: 1,
        pendingTokens: 0,
        memoryTokens: 84_000,
      });
      assert.equal(choose(LONG), undefined);
      assert.equal(choose(createNeeds()), "lm-a");
    });

    it("gives a short call the memory that is reserved from long prompts", () => {
      const { choose, loads } = start(["a"]);
      loads.addOwn(toBackendId("lm-a"), {
        calls: 2,
        pendingTokens: 50_000,
        memoryTokens: 90_000,
      });
      assert.equal(choose(createNeeds({ promptTokens: 6_000 })), "lm-a");
      loads.addOwn(toBackendId("lm-a"), {
        calls: 0,
        pendingTokens: 0,
        memoryTokens: 6_500,
      });
      assert.equal(choose(createNeeds({ promptTokens: 6_000 })), undefined);
    });
  });

  describe("when all sequences of an engine are taken", () => {
    const take = (loads: LoadTracker, id: string, calls: number) =>
      loads.addOwn(toBackendId(id), {
        calls,
        pendingTokens: 0,
        memoryTokens: 0,
      });

    const hold = (prefixes: PrefixCacheModel, id: string) =>
      LONG.parts.forEach((part) =>
        prefixes.record(toBackendId(id), part, 90_000)
      );

    it("lets only a call wait whose shared part is cached there", () => {
      const { choose, loads, prefixes } = start(["a", "b"]);
      hold(prefixes, "lm-a");
      take(loads, "lm-a", 4);
      assert.equal(choose(LONG), "lm-a");
      assert.equal(choose(createNeeds()), "lm-b");
    });

    it("bounds the number of calls that wait", () => {
      const { choose, loads, prefixes } = start(["a", "b"]);
      hold(prefixes, "lm-a");
      take(loads, "lm-a", 7);
      assert.equal(choose(LONG), "lm-b");
    });
  });

  it("sends a plain server at most twice as many calls as it has slots", () => {
    const { choose, loads } = start(["a"]);
    const needs = createNeeds({ service: PLAIN });
    loads.addOwn(toBackendId("app-a"), {
      calls: 3,
      pendingTokens: 0,
      memoryTokens: 0,
    });
    assert.equal(choose(needs), "app-a");
    loads.addOwn(toBackendId("app-a"), {
      calls: 1,
      pendingTokens: 0,
      memoryTokens: 0,
    });
    assert.equal(choose(needs), undefined);
  });

  it("sends a call to a cold engine only when the warm-up gate is open", () => {
    const { choose, warmUp } = start(["a"], 2_000);
    const id = toBackendId("lm-a");
    assert.equal(choose(createNeeds(), 10), id);
    warmUp.record(id, 10, 10);
    assert.equal(choose(createNeeds(), 100), undefined);
    assert.equal(choose(createNeeds(), 600), id);
    warmUp.record(id, 10, 1_990);
    assert.equal(choose(createNeeds(), 2_001), id);
  });

  it("excludes servers that had the call, that drain or that do not answer", () => {
    const { choose, health, registry } = start(["a", "b", "c"]);
    const known = registry.find(toBackendId("lm-a"))!.entry;
    registry.put({ ...known, isDraining: true }, 0);
    [1, 2].forEach((nowMs) =>
      health.record(
        toBackendId("lm-b"),
        { outcome: "no-answer", route: "r" },
        nowMs,
      )
    );
    assert.equal(choose(createNeeds()), "lm-c");
    const tried = new Set([toBackendId("lm-c")]);
    // With no other server left, a suspended one is better than none.
    assert.equal(choose(createNeeds({ tried })), "lm-b");
  });

  it("excludes a server that is silent while it has calls, until it sends a byte", () => {
    const { choose, liveness } = start(["a", "b"]);
    const first = toBackendId(choose(LONG)!);
    const call = liveness.begin(first, 0);
    call.recordBytes(100);
    assert.equal(choose(LONG, 300), first);
    assert.notEqual(choose(LONG, 900), first);
    call.recordBytes(1_000);
    assert.equal(choose(LONG, 1_010), first);
  });
});
