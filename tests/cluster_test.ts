import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import {
  catchUp,
  ConfigurationState,
  writeEntry,
} from "../configuration/mod.ts";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import {
  toBackendId,
  toCallFingerprint,
  toInstanceId,
  toRegionId,
} from "../ids/mod.ts";
import {
  decodeHeartbeat,
  encodeHeartbeat,
  type Heartbeat,
  type InstanceRecord,
  Membership,
} from "../membership/mod.ts";
import { METRICS } from "../metrics/mod.ts";
import type { ConfigurationEntry } from "../resources/mod.ts";
import { RESULT_CODES } from "../results/mod.ts";
import { FakeFleet, MemoryStore } from "../standin/mod.ts";

const KEY = "a key of sixteen bytes";

function createRecord(name: string): InstanceRecord {
  return {
    id: toInstanceId(name),
    region: toRegionId("r"),
    failureDomain: "fd",
    peerAddress: `${name}:1`,
    callerUrl: `http://${name}`,
    isLeaving: false,
  };
}

function createHeartbeat(
  from: string,
  overrides: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    from: toInstanceId(from),
    region: toRegionId("r"),
    incarnation: 100,
    sequence: 1,
    isLeaving: false,
    configuration: 0,
    gossip: [],
    digests: [],
    ...overrides,
  };
}

describe("Membership", () => {
  function createView() {
    const view = new Membership({
      self: createRecord("self"),
      incarnation: 100,
      random: createRandom(1),
    });
    view.applyInstanceList([createRecord("self"), createRecord("peer")], 0);
    return view;
  }
  const readStatus = (view: Membership) => view.members[0]!.status;
  const local = { configuration: 0, services: [] };

  it("does not revive a dead instance on a heartbeat of the same incarnation", () => {
    const view = createView();
    view.applyHeartbeat(createHeartbeat("peer", { sequence: 9 }), 10);
    for (let nowMs = 400; nowMs <= 4_000; nowMs += 400) {
      view.advanceTick(local, nowMs);
    }
    assert.equal(readStatus(view), "dead");
    const answers = view.applyHeartbeat(
      createHeartbeat("peer", { sequence: 12 }),
      4_100,
    );
    assert.equal(readStatus(view), "dead");
    // The answer reports its death, so that it returns with a higher incarnation.
    assert.equal(answers[0]!.heartbeat.gossip[0]!.status, "dead");
    view.applyHeartbeat(createHeartbeat("peer", { incarnation: 101 }), 4_200);
    assert.equal(readStatus(view), "live");
  });

  it("refutes gossip of its own death with a higher incarnation", () => {
    const view = createView();
    const gossip = [{
      id: toInstanceId("self"),
      incarnation: 100,
      status: "dead" as const,
    }];
    const answers = view.applyHeartbeat(
      createHeartbeat("peer", { gossip }),
      10,
    );
    assert.equal(view.incarnation, 101);
    assert.equal(answers[0]!.heartbeat.incarnation, 101);
  });

  it("does not list an instance that is leaving as live", () => {
    const view = createView();
    view.applyHeartbeat(createHeartbeat("peer", { isLeaving: true }), 10);
    assert.deepEqual(view.liveIds, ["self"]);
  });
});

describe("an encoded heartbeat", () => {
  it("decodes to the same heartbeat, and to none with a wrong key or changed bytes", () => {
    const heartbeat = createHeartbeat("peer", {
      gossip: [{ id: toInstanceId("x"), incarnation: 3, status: "suspect" }],
      digests: [{
        region: toRegionId("r2"),
        author: toInstanceId("y"),
        incarnation: 1,
        sequence: 2,
        configuration: [3, 4],
        liveCount: 3,
        gateways: [toInstanceId("y")],
        services: [{ service: "s", spare: 5, firstTokenMs: 60 }],
      }],
      crashReports: [{
        call: toCallFingerprint("call"),
        servers: [toBackendId("s1")],
        ageMs: 20,
      }],
    });
    const bytes = encodeHeartbeat(heartbeat, KEY);
    assert.deepEqual(decodeHeartbeat(bytes, KEY), heartbeat);
    assert.equal(decodeHeartbeat(bytes, "another key"), undefined);
    fc.assert(
      fc.property(
        fc.nat(bytes.length - 1),
        fc.integer({ min: 1, max: 255 }),
        (at, by) => {
          const changed = Buffer.from(bytes);
          changed[at] = changed[at]! ^ by;
          assert.equal(decodeHeartbeat(changed, KEY), undefined);
        },
      ),
    );
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (randomBytes) => {
      assert.equal(decodeHeartbeat(randomBytes, KEY), undefined);
    }));
  });
});

describe("configuration", () => {
  function createEntry(
    sequence: number,
    changeId = `change-${sequence}`,
  ): ConfigurationEntry {
    return {
      sequence,
      changeId,
      acceptedMs: 0,
      operator: "o",
      instance: "i",
      changes: [{
        kind: "model",
        name: `m-${sequence}`,
        spec: { contextTokens: sequence },
      }],
    };
  }

  it("is the same in whatever order entries arrive, and its sequence never decreases", () => {
    const all = Array.from(
      { length: 12 },
      (_, index) => createEntry(index + 1),
    );
    fc.assert(fc.property(fc.array(fc.nat(11), { maxLength: 80 }), (order) => {
      const state = new ConfigurationState();
      let highest = 0;
      order.forEach((at) => {
        state.apply(all[at]!);
        assert.ok(state.sequence >= highest);
        highest = state.sequence;
      });
      all.forEach((entry) => state.apply(entry));
      assert.equal(state.sequence, 12);
      assert.equal(state.catalog.resources.size, 12);
    }));
  });

  it("gives a peer the entries it lacks, or a snapshot if it is far behind", () => {
    const state = new ConfigurationState();
    Array.from(
      { length: 600 },
      (_, index) => state.apply(createEntry(index + 1)),
    );
    assert.equal(state.readAfter(590).kind, "entries");
    const answer = state.readAfter(10);
    assert.ok(answer.kind === "snapshot");
    const stale = new ConfigurationState();
    assert.equal(stale.applySnapshot(answer.snapshot), true);
    assert.equal(stale.sequence, 600);
    assert.equal(state.applySnapshot({ sequence: 3, resources: [] }), false);
    assert.equal(state.sequence, 600);
  });

  it("appends a change once after a lost answer, and reports its sequence number as taken to another change", async () => {
    const store = new MemoryStore(new VirtualClock());
    store.faults.loseAnswers = 1;
    assert.equal(
      (await writeEntry(store, createEntry(1)))._unsafeUnwrap().kind,
      "appended",
    );
    const other = await writeEntry(store, createEntry(1, "other"));
    assert.equal(other._unsafeUnwrap().kind, "taken");
    const state = new ConfigurationState();
    await catchUp(store, state);
    assert.equal(state.sequence, 1);
  });

  it("stays in force when the store is restored to an older state, and is written to the store again", async () => {
    const fleet = new FakeFleet();
    await fleet.clock.advance(3_000);
    const createModel = (name: string) => ({ kind: "model", name, spec: {} });
    await fleet.apply([createModel("m1")]);
    const old = fleet.store.snapshot();
    await fleet.apply([createModel("m2")]);
    await fleet.apply([createModel("m3")]);
    fleet.store.restore(old);
    await fleet.apply([createModel("m4")], fleet.daemons[4]);
    await fleet.clock.advance(70_000);
    fleet.daemons.forEach(({ gateway }) => {
      assert.equal(gateway.configuration.sequence, 4);
      assert.equal(gateway.configuration.catalog.resources.size, 4);
    });
    // A daemon that starts without peers reads all of it from the store.
    fleet.stop();
    fleet.store.faults.latencyMs = 0;
    const state = new ConfigurationState();
    await catchUp(fleet.store, state);
    assert.equal(state.sequence, 4);
  });
});

describe("the documentation", () => {
  const readDocument = (name: string) =>
    readFileSync(new URL(`../../docs/${name}`, import.meta.url), "utf8");

  it("lists all result codes as they are in the code", () => {
    const text = readDocument("RESULTS.md");
    Object.entries(RESULT_CODES).forEach((
      [name, { code, status, ran, retry }],
    ) =>
      assert.ok(
        text.includes(`| ${code} | ${name} | ${status} | ${ran} | ${retry} |`),
        `docs/RESULTS.md lacks ${name}`,
      )
    );
  });

  it("lists all metrics as they are in the code", () => {
    const text = readDocument("METRICS.md");
    Object.entries(METRICS).forEach(([name, meaning]) =>
      assert.ok(
        text.includes(`| \`${name}\` | ${meaning} |`),
        `docs/METRICS.md lacks ${name}`,
      )
    );
  });
});
