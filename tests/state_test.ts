import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BatchStore } from "../batches/mod.ts";
import {
  type Clock,
  createRandom,
  createToken,
  VirtualClock,
} from "../clock/mod.ts";
import {
  decidePlacement,
  type PlacedEngine,
} from "../controllers/decide_placement.ts";
import type { EngineState } from "../engine/mod.ts";
import { toChangeId } from "../ids/mod.ts";
import { LEASE_TERMS, LeaseHolder } from "../leases/mod.ts";
import {
  FakeFleet,
  hashToken,
  MemoryStore,
  NEW_ENGINE,
} from "../standin/mod.ts";
import {
  addTotals,
  foldUsage,
  readUsage,
  UsageFlusher,
  UsageMeter,
  type UsageTotals,
} from "../usage/mod.ts";
import { toTeamId } from "../ids/mod.ts";

describe("LeaseHolder", () => {
  function createHolders(count: number) {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const holders = Array.from(
      { length: count },
      (_, index) =>
        new LeaseHolder({
          store,
          clock,
          random: createRandom(index + 1),
          key: "/lease",
          owner: `o${index}`,
          terms: LEASE_TERMS,
        }),
    );
    return { clock, store, holders };
  }

  it("is held by one instance, and passes to another with a higher token when its holder is paused", async () => {
    const { clock, holders } = createHolders(2);
    const [first, second] = holders as [LeaseHolder, LeaseHolder];
    await first.renew();
    await second.renew();
    assert.ok(first.held && !second.held);
    const { token } = first.held;
    // The holder is paused until its lease has expired, and does not notice.
    await clock.advance(LEASE_TERMS.ttlMs + 1);
    await second.renew();
    assert.ok(second.held!.token > token);
    assert.equal(first.isSafe(0), false);
    await first.renew();
    assert.equal(first.held, undefined);
  });

  it("is not relied on after a suspension that stopped its holder's clock", async () => {
    const { clock, store } = createHolders(0);
    let suspendedMs = 0;
    const parts = {
      store,
      random: createRandom(1),
      key: "/lease",
      terms: LEASE_TERMS,
    };
    const suspended: Clock = {
      nowMs: () => clock.nowMs() - suspendedMs,
      elapsedMs: () => clock.nowMs(),
      schedule: (...timer) => clock.schedule(...timer),
    };
    const first = new LeaseHolder({ ...parts, clock: suspended, owner: "o1" });
    const second = new LeaseHolder({ ...parts, clock, owner: "o2" });
    await first.renew();
    assert.ok(first.isSafe(0));
    suspendedMs = LEASE_TERMS.ttlMs + 1;
    await clock.advance(suspendedMs);
    await second.renew();
    assert.ok(second.isSafe(0));
    assert.ok(!first.isSafe(0));
  });

  it("is not relied on close to its expiry, before the store grants it to another", async () => {
    const { clock, holders } = createHolders(1);
    const [first] = holders as [LeaseHolder];
    await first.renew();
    await clock.advance(LEASE_TERMS.ttlMs - LEASE_TERMS.marginMs - 100);
    assert.equal(first.isSafe(50), true);
    assert.equal(first.isSafe(200), false);
  });

  it("recognizes its own lease after a lost answer", async () => {
    const { store, holders } = createHolders(1);
    store.faults.loseAnswers = 1;
    await holders[0]!.renew();
    assert.ok(holders[0]!.held);
  });
});

describe("decidePlacement()", () => {
  const stateArbitrary = fc.record({
    version: fc.constantFrom(undefined, "v1", "v2"),
    loading: fc.constant(undefined),
    orderId: fc.constant(undefined),
    failure: fc.constant(undefined),
  });

  function runUntilConverged(
    states: readonly EngineState[],
    replicas: number,
    maxLoads: number,
  ) {
    let engines: PlacedEngine[] = states.map((state, index) => ({
      id: `e${index}`,
      service: "s",
      isLeaving: false,
      state,
      retryAtMs: 0,
    }));
    const wanted = [{ service: "s", version: "v2", replicas }];
    const servingCounts: number[] = [];
    for (let round = 0; round < 40; round++) {
      const { orders } = decidePlacement({
        wanted,
        engines,
        maxLoads,
        nowMs: 0,
      });
      if (
        orders.length === 0 && engines.every(({ state }) => !state?.loading)
      ) {
        return { engines, servingCounts, round };
      }
      const loads = orders.filter(({ version }) =>
        version !== undefined
      ).length;
      const alreadyLoading =
        engines.filter(({ state }) => state?.loading).length;
      assert.ok(
        loads + alreadyLoading <= maxLoads,
        "more loads at once than allowed",
      );
      // Loads that were running complete; then the new orders take effect.
      engines = engines.map((engine) => {
        const order = orders.find((each) => each.engine === engine.id);
        const loaded = engine.state?.loading === undefined ? engine.state! : {
          ...engine.state,
          version: engine.state.loading,
          loading: undefined,
        };
        if (order === undefined) return { ...engine, state: loaded };
        if (order.version === undefined) {
          return { ...engine, state: { ...loaded, version: undefined } };
        }
        return { ...engine, state: { ...loaded, loading: order.version } };
      });
      servingCounts.push(
        engines.filter(({ state }) => state?.version && !state.loading).length,
      );
    }
    assert.fail("placement does not converge");
  }

  it("converges from any reported state, and then orders nothing", () => {
    fc.assert(fc.property(
      fc.array(stateArbitrary, { minLength: 1, maxLength: 8 }),
      fc.nat(8),
      fc.integer({ min: 1, max: 3 }),
      (states, replicas, maxLoads) => {
        const { engines } = runUntilConverged(
          states,
          Math.min(replicas, states.length),
          maxLoads,
        );
        const serving = engines.filter(({ state }) =>
          state?.version === "v2"
        ).length;
        const wanted = Math.min(replicas, states.length);
        // The last engine that serves is not taken out of service to load another version.
        const isStuckWithOne =
          engines.filter(({ state }) => state?.version).length === 1;
        assert.ok(
          serving === wanted || isStuckWithOne,
          `${serving} of ${wanted}`,
        );
      },
    ));
  });

  it("keeps one engine serving throughout, if one served at first", () => {
    fc.assert(fc.property(
      fc.array(stateArbitrary, { minLength: 2, maxLength: 8 }),
      fc.integer({ min: 1, max: 3 }),
      (states, maxLoads) => {
        if (!states.some(({ version }) => version !== undefined)) return;
        const { servingCounts } = runUntilConverged(
          states,
          states.length,
          maxLoads,
        );
        assert.ok(
          servingCounts.every((count) => count >= 1),
          `${servingCounts}`,
        );
      },
    ));
  });

  it("gives the reason for waiting, after a failed load and for the rate limit of the weight store", () => {
    const failed = {
      version: undefined,
      loading: undefined,
      orderId: "1",
      failure: "no space",
    };
    const engine = {
      id: "e",
      service: "s",
      isLeaving: false,
      state: failed,
      retryAtMs: 500,
    };
    const wanted = [{ service: "s", version: "v2", replicas: 1 }];
    const waiting = decidePlacement({
      wanted,
      engines: [engine],
      maxLoads: 1,
      nowMs: 0,
    });
    assert.deepEqual(waiting.orders, []);
    assert.match(waiting.statuses[0]!.reason, /no space/);
    const ready = { ...engine, retryAtMs: 0 };
    const limited = decidePlacement({
      wanted,
      engines: [ready],
      maxLoads: 0,
      nowMs: 0,
    });
    assert.match(limited.statuses[0]!.reason, /weight store/);
  });
});

describe("usage accounting", () => {
  const team = toTeamId("t");
  const stepArbitrary = fc.record({
    actor: fc.nat(2),
    action: fc.constantFrom("use", "flush", "fold", "crash"),
    fault: fc.constantFrom(
      "none",
      "none",
      "none",
      "loseAnswer",
      "loseRequest",
      "down",
    ),
  });

  it("never counts a request twice, and loses at most those that were not flushed before a crash", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { maxLength: 50 }),
        async (steps) => {
          const clock = new VirtualClock();
          const store = new MemoryStore(clock);
          const random = createRandom(5);
          const createChangeId = () => toChangeId(createToken(random));
          let started = 0;
          const start = () => {
            const incarnation = `i:${started++}`;
            return {
              incarnation,
              meter: new UsageMeter(),
              flusher: new UsageFlusher({ store, incarnation, createChangeId }),
            };
          };
          const actors = [start(), start(), start()];
          let counted = 0;
          let mayBeLost = 0;
          let unflushed = [0, 0, 0];
          for (const { actor, action, fault } of steps) {
            const { meter, flusher } = actors[actor]!;
            store.faults.loseAnswers = fault === "loseAnswer" ? 1 : 0;
            store.faults.loseRequests = fault === "loseRequest" ? 1 : 0;
            store.setDown(fault === "down");
            switch (action) {
              case "use":
                meter.record(team, 10);
                counted++;
                unflushed[actor]!++;
                break;
              case "flush": {
                const flushed = await flusher.flush(
                  meter.readTotals(),
                  clock.nowMs(),
                );
                // A flush that finds its document sealed writes nothing;
                // the next flush writes the rest to the next part.
                if (flushed.isOk() && fault === "none") {
                  const again = await flusher.flush(
                    meter.readTotals(),
                    clock.nowMs(),
                  );
                  if (again.isOk()) unflushed[actor] = 0;
                }
                break;
              }
              case "fold":
                // Folds all incarnations, also live ones that are wrongly considered dead.
                await foldUsage({
                  store,
                  createChangeId,
                  isDead: () => true,
                  nowMs: clock.nowMs() + 120_000,
                });
                break;
              case "crash":
                mayBeLost += unflushed[actor]!;
                unflushed = unflushed.map((count, at) =>
                  at === actor ? 0 : count
                );
                actors[actor] = start();
                break;
            }
          }
          Object.assign(store.faults, { loseAnswers: 0, loseRequests: 0 });
          store.setDown(false);
          for (const { flusher, meter } of actors) {
            await flusher.flush(meter.readTotals(), clock.nowMs());
            await flusher.flush(meter.readTotals(), clock.nowMs());
          }
          const total = (await readUsage(store))._unsafeUnwrap();
          const requests = total[team]?.requests ?? 0;
          assert.ok(
            requests <= counted,
            `${requests} of ${counted}: counted twice`,
          );
          assert.ok(
            requests >= counted - mayBeLost,
            `${requests} of ${counted}, ${mayBeLost} lost`,
          );
          assert.equal(total[team]?.tokens ?? 0, requests * 10);
        },
      ),
      { numRuns: 150 },
    );
  });

  it("adds totals of the same team", () => {
    const one: UsageTotals = { t: { requests: 1, tokens: 2 } };
    assert.deepEqual(addTotals(one, one), { t: { requests: 2, tokens: 4 } });
  });
});

describe("BatchStore", () => {
  function createBatches() {
    const store = new MemoryStore(new VirtualClock());
    const random = createRandom(1);
    const batches = new BatchStore(
      store,
      () => toChangeId(createToken(random)),
    );
    const submit = (bodyHash = "hash") =>
      batches.submit({
        id: "b1",
        team: "t",
        bodyHash,
        services: ["chat"],
        items: [1, 2].map((number) => ({
          custom_id: `c${number}`,
          url: "/v1/completions",
          method: "POST",
          body: {},
          non_idempotent: false,
        })),
        createdMs: 0,
        dueMs: 1_000,
      });
    return { store, batches, submit };
  }

  it("accepts a batch once, also after lost answers, and refuses another under the same key", async () => {
    const { store, submit } = createBatches();
    store.faults.loseAnswers = 1;
    assert.ok((await submit()).isOk());
    store.faults.loseAnswers = 2;
    assert.ok((await submit()).isOk());
    const other = await submit("other");
    assert.equal(other._unsafeUnwrapErr().name, "KEY_BODY_MISMATCH");
  });

  it("keeps the first answer to an item when another one is written later", async () => {
    const { batches, submit } = createBatches();
    await submit();
    const createAnswers = (status: number) => ({
      0: { custom_id: "c1", status, body: null },
    });
    await batches.writeAnswers("b1", 0, createAnswers(200));
    await batches.writeAnswers("b1", 0, createAnswers(499));
    const all = (await batches.readAllAnswers("b1"))._unsafeUnwrap();
    assert.deepEqual(all.map(({ status }) => status), [200]);
  });

  it("removes a cancelled batch with all its keys after its retention", async () => {
    const { store, batches, submit } = createBatches();
    await submit();
    const head = (await batches.end("b1", "cancelled", 500))._unsafeUnwrap();
    assert.equal(head?.state, "cancelled");
    assert.deepEqual((await batches.listOpen())._unsafeUnwrap(), []);
    assert.equal((await batches.removeEnded(500))._unsafeUnwrap(), 0);
    store.faults.loseAnswers = 1;
    await batches.removeEnded(501);
    await batches.removeEnded(501);
    assert.equal(store.snapshot().size, 0);
  });
});

describe("a batch of 2,000 items", () => {
  it("is answered in full, each item once, though the daemons are killed one after the other", async () => {
    const fleet = new FakeFleet({ regions: ["r1"], storeCallsPerSecond: 600 });
    await fleet.clock.advance(3_000);
    const engines = [1, 2, 3, 4].map((number) => {
      const url = `http://127.0.0.1:${10_000 + number}`;
      fleet.backend.addEngine(url, "r1", { ...NEW_ENGINE, slots: 32 });
      return {
        kind: "engine",
        name: `e${number}`,
        spec: {
          service: "chat",
          region: "r1",
          failureDomain: "fd",
          url,
          slots: 32,
        },
      };
    });
    await fleet.apply([
      { kind: "model", name: "m", spec: {} },
      { kind: "service", name: "chat", spec: { model: "m" } },
      ...engines,
      { kind: "team", name: "t", spec: { tokenHashes: [hashToken("t")] } },
    ]);
    const items = Array.from({ length: 2_000 }, (_, index) => ({
      custom_id: `sheet-${index}`,
      url: "/v1/completions",
      body: { model: "m", prompt: `sheet ${index}`, max_tokens: 2 },
    }));
    const submit = fleet.call(fleet.daemons[0]!, {
      token: "t",
      path: "/v1/batches",
      headers: { "idempotency-key": "drawer" },
      body: { items },
    });
    await fleet.clock.advance(5_000);
    const accepted = await submit;
    assert.equal(accepted.kind === "whole" && accepted.status, 202);
    const { id } = JSON.parse(
      String(accepted.kind === "whole" && accepted.body),
    ) as { id: string };
    for (let index = 0; index < 3; index++) {
      await fleet.clock.advance(8_000);
      const victim = fleet.daemons[index]!;
      fleet.kill(victim);
      fleet.network.silent.add(victim.record.id);
      await fleet.clock.advance(4_000);
      fleet.network.silent.delete(victim.record.id);
      fleet.start(victim.record);
    }
    let status = "";
    for (let polls = 0; polls < 150 && status !== "done"; polls++) {
      const read = fleet.call(fleet.daemons[1]!, {
        token: "t",
        path: `/v1/batches/${id}`,
        method: "GET",
      });
      await fleet.clock.advance(2_000);
      const reply = await read;
      if (reply.kind !== "whole" || reply.status !== 200) continue;
      status = (JSON.parse(String(reply.body)) as { status: string }).status;
    }
    const results = fleet.call(fleet.daemons[2]!, {
      token: "t",
      path: `/v1/batches/${id}/results`,
      method: "GET",
    });
    await fleet.clock.advance(2_000);
    const reply = await results;
    fleet.stop();
    assert.equal(status, "done");
    const answers = String(reply.kind === "whole" && reply.body).trim().split(
      "\n",
    )
      .map((line) => JSON.parse(line) as { custom_id: string; status: number });
    assert.equal(answers.length, items.length);
    assert.deepEqual(
      answers.map(({ custom_id }) => custom_id).toSorted(),
      items.map(({ custom_id }) => custom_id).toSorted(),
    );
    assert.ok(answers.every(({ status: code }) => code === 200));
  });
});
