// Guards against an order that starts again, or is lost, because the store was restored, or because its entry can't be read.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { encodeRolloutRecord, toRolloutRecordKey } from "../platform/mod.ts";
import type { RolloutRecord } from "../rollouts/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformOperator } from "../standin/platform_operator.ts";
import { isSameOrder } from "../rollouts/mod.ts";
import { putKey } from "./follower_fixture.ts";
import { createRecord, SERVICE, startRelay } from "./rollout_relay_fixture.ts";

const ORDER = { service: SERVICE, destination: "v2", durationS: 12 };

async function startOrdered() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const operator = new PlatformOperator(store, clock);
  const first = startRelay(clock, store);
  await clock.advance(100);
  const putRecord = (record: RolloutRecord) =>
    putKey(
      store,
      toRolloutRecordKey(SERVICE),
      encodeRolloutRecord(record),
    );
  const order = async (destination: string) => {
    await operator.orderRollout({ ...ORDER, destination });
    await clock.advance(500);
    return first.orders.get(SERVICE)!;
  };
  return { clock, first, operator, order, putRecord, store };
}

describe("documents of rollouts", () => {
  it("reach an instance by the copies of a peer as they reach one by the store", async () => {
    const { clock, first, order, putRecord, store } = await startOrdered();
    const follower = startRelay(clock, store, () => false);
    await order("v2");
    await putRecord(createRecord("trial"));
    await clock.advance(500);
    follower.follower.applyCopy(
      first.follower.createCopy({ era: 0, revision: 0 }),
    );
    assert.deepEqual(follower.orders, first.orders);
    assert.deepEqual(follower.records, first.records);
    assert.equal(first.orders.get(SERVICE)?.durationMs, 12_000);
    assert.equal(first.records.get(SERVICE)?.order?.phase, "trial");
  });

  it("are of the same order in a restored store, also at an instance that starts afterwards", async () => {
    const { clock, first, order, store } = await startOrdered();
    const { id } = await order("v2");
    store.restoreBackup(store.createBackup());
    const second = startRelay(clock, store);
    await clock.advance(500);
    assert.equal(first.orders.get(SERVICE)?.id, id);
    assert.ok(
      isSameOrder(second.orders.get(SERVICE)!, first.orders.get(SERVICE)!),
    );
    // A later order must count as later at both.
    const next = await order("v3");
    await clock.advance(500);
    assert.equal(second.orders.get(SERVICE)?.id, next.id);
    assert.match(next.id, /^1\./);
  });

  it("keep an order that a restored store lacks, until it is written again or another one is", async () => {
    const { clock, first, operator, order, store } = await startOrdered();
    const backup = store.createBackup();
    const { id } = await order("v2");
    store.restoreBackup(backup);
    await clock.advance(500);
    store.compact();
    await clock.advance(5_000);
    assert.equal(first.orders.get(SERVICE)?.id, id);
    const next = await order("v3");
    assert.equal(next.destination, "v3");
    await operator.withdrawRollout(SERVICE);
    await clock.advance(500);
    assert.equal(first.orders.get(SERVICE), undefined);
  });

  it("keep the last order where a restored store has the one before it", async () => {
    const { clock, first, order, store } = await startOrdered();
    await order("v2");
    const backup = store.createBackup();
    const { id } = await order("v3");
    store.restoreBackup(backup);
    await clock.advance(500);
    assert.equal(first.orders.get(SERVICE)?.id, id);
  });

  it("tell that the record is lost in a restored store, so that it is written again", async () => {
    const { clock, first, order, putRecord, store } = await startOrdered();
    await order("v2");
    const backup = store.createBackup();
    await putRecord(createRecord("rolled-back"));
    await clock.advance(500);
    assert.equal(first.records.size, 1);
    store.restoreBackup(backup);
    await clock.advance(500);
    assert.equal(first.records.size, 0);
  });

  it("keep the order in force when it is overwritten by one that can't be read, with one log line", async () => {
    const { clock, first, operator, order, putRecord, store } =
      await startOrdered();
    const { id } = await order("v2");
    await putRecord(createRecord("trial", id));
    await operator.overwriteRolloutWithInvalid(SERVICE);
    await clock.advance(500);
    const second = startRelay(clock, store);
    await clock.advance(500);
    assert.equal(first.orders.get(SERVICE)?.id, id);
    assert.equal(second.orders.get(SERVICE)?.id, id);
    assert.deepEqual(first.follower.rollouts.listRefused(), []);
    const refusals = first.lines.filter(({ key }) =>
      key === `op/rollout/${SERVICE}`
    );
    assert.equal(refusals.length, 1);
    await operator.withdrawRollout(SERVICE);
    await clock.advance(500);
    assert.equal(first.orders.get(SERVICE), undefined);
    assert.equal(second.orders.get(SERVICE), undefined);
  });

  it("have the status rolled back for an order without a duration, if its version is not in force", async () => {
    const { clock, first, putRecord, store } = await startOrdered();
    const put = async (destination: string) => {
      await putKey(
        store,
        `op/rollout/${SERVICE}`,
        JSON.stringify({ service: SERVICE, destination }),
      );
      await clock.advance(500);
    };
    await putRecord(createRecord("completed"));
    await put("v3");
    assert.deepEqual(first.follower.rollouts.listRefused(), [
      { service: SERVICE, destination: "v3", state: "rolled_back" },
    ]);
    await put("v2");
    assert.deepEqual(first.follower.rollouts.listRefused(), []);
    assert.equal(first.orders.get(SERVICE), undefined);
  });
});
