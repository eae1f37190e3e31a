// Guards against decisions on a version that two relays make differently, that a late write reverts, or that operators never read.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { toServerVersion } from "../ids/mod.ts";
import type { RolloutRecord, RolloutStatus } from "../rollouts/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformOperator } from "../standin/platform_operator.ts";
import {
  createRecord,
  readRollout,
  SERVICE,
  startRelay,
} from "./rollout_relay_fixture.ts";

const ROLLED_BACK: RolloutStatus = {
  service: SERVICE,
  destination: toServerVersion("v2"),
  state: "rolled_back",
};
const NOTHING = { records: [], statuses: [], rank: 0 };

/** Starts two relays of a store that has a record in phase `trial`. */
async function startTwo() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const first = startRelay(clock, store);
  const second = startRelay(clock, store);
  await clock.advance(100);
  await first.entries.update({ ...NOTHING, records: [createRecord("trial")] });
  await clock.advance(500);
  /** Lets a relay want a record until the store has it, as a tracker does. */
  const want = async (
    { entries, records }: typeof first,
    record: RolloutRecord,
    forMs: number,
  ) => {
    for (let waitedMs = 0; waitedMs < forMs; waitedMs += 150) {
      const isKnown =
        records.get(SERVICE)?.order?.phase === record.order?.phase;
      void entries.update({ ...NOTHING, records: isKnown ? [] : [record] });
      await clock.advance(150);
    }
  };
  return { clock, first, second, store, want };
}

describe("rollout entries", () => {
  it("of two relays that decide at the same time follow each other: none is overwritten unseen", async () => {
    const { clock, first, second, store, want } = await startTwo();
    const revisionBefore = first.follower.known.store.revision;
    await Promise.all([
      first.entries.update({ ...NOTHING, records: [createRecord("ramp")] }),
      second.entries.update({
        ...NOTHING,
        records: [createRecord("rolled-back")],
      }),
    ]);
    assert.deepEqual((await readRollout(store)).phase, "ramp");
    await clock.advance(500);
    assert.equal(first.follower.known.store.revision, revisionBefore + 1);
    await want(second, createRecord("rolled-back"), 2_000);
    assert.equal((await readRollout(store)).phase, "rolled-back");
    assert.equal(first.records.get(SERVICE)?.order?.phase, "rolled-back");
  });

  it("have a status although the relay that wrote the record died before it wrote the status", async () => {
    const { clock, first, second, store } = await startTwo();
    await first.entries.update({
      ...NOTHING,
      records: [createRecord("rolled-back")],
    });
    first.crash();
    await clock.advance(300);
    const wanted = { ...NOTHING, statuses: [ROLLED_BACK], rank: 2 };
    await second.entries.update(wanted);
    assert.equal((await readRollout(store)).status, undefined);
    await clock.advance(300);
    await second.entries.update(wanted);
    assert.equal((await readRollout(store)).status, "rolled_back");
  });

  it("are not reverted by a write that runs 3 s after its answer was lost", async () => {
    const { clock, first, store, want } = await startTwo();
    store.faults.runLate = 1;
    await first.entries.update({ ...NOTHING, records: [createRecord("ramp")] });
    await want(first, createRecord("rolled-back"), 2_000);
    assert.equal((await readRollout(store)).phase, "rolled-back");
    await clock.advance(5_000);
    assert.equal((await readRollout(store)).phase, "rolled-back");
  });

  it("are corrected after a late write that ran before the next decision was written", async () => {
    const { clock, first, store, want } = await startTwo();
    Object.assign(store.faults, { runLate: 1, lateMs: 400 });
    await first.entries.update({ ...NOTHING, records: [createRecord("ramp")] });
    await clock.advance(150);
    await want(first, createRecord("rolled-back"), 3_000);
    assert.equal((await readRollout(store)).phase, "rolled-back");
  });

  it("are written once a silent store is back, with few attempts and one warning", async () => {
    const { first, store, want } = await startTwo();
    store.setDown(true);
    const writesBefore = store.counts.writes;
    await want(first, createRecord("rolled-back"), 10_000);
    assert.ok(store.counts.writes - writesBefore <= 11);
    const warnings = first.lines.filter(({ msg, message = msg }) =>
      message === "rollout entry not written"
    );
    assert.equal(warnings.length, 1);
    store.setDown(false);
    await want(first, createRecord("rolled-back"), 3_000);
    assert.equal((await readRollout(store)).phase, "rolled-back");
  });

  it("have the status of a second order for the same version, although it equals that of the first", async () => {
    const { clock, first, store } = await startTwo();
    const operator = new PlatformOperator(store, clock);
    const order = { service: SERVICE, destination: "v2", durationS: 12 };
    await operator.orderRollout(order);
    await clock.advance(300);
    await first.entries.update({ ...NOTHING, statuses: [ROLLED_BACK] });
    await operator.orderRollout({ ...order, durationS: 13 });
    await clock.advance(300);
    assert.equal(await operator.readRolloutStatus(SERVICE), undefined);
    await first.entries.update({ ...NOTHING, statuses: [ROLLED_BACK] });
    const status = await operator.readRolloutStatus(SERVICE);
    assert.equal(status?.state, "rolled_back");
    await clock.advance(300);
    const { writes } = store.counts;
    await first.entries.update({ ...NOTHING, statuses: [ROLLED_BACK] });
    assert.equal(store.counts.writes, writes);
  });
});
