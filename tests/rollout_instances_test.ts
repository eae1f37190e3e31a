// Guards against rollouts that end differently at different instances, without the store or after the loss of the decider.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runRollout } from "../standin/platform_rollout.ts";
import {
  startInstances,
  type StartInstancesOptions,
} from "./rollout_instances_fixture.ts";
import { readRollout, SERVICE } from "./rollout_relay_fixture.ts";

const ORDER = { service: SERVICE, destination: "v2", durationS: 12 };
const BAD = { regions: { north: 6, south: 2 }, failedShare: 0.5 };
/** Time from the 50th bad response until nothing more is sent to the version, in milliseconds. */
const ROLLBACK_TARGET_MS = 1_000;

type Fleet = Awaited<ReturnType<typeof startInstances>>;

/** Starts instances, and orders a rollout after 4 s. */
async function startOrdered(options: StartInstancesOptions) {
  const fleet = await startInstances(options);
  await fleet.run(4_000);
  const orderedMs = fleet.clock.nowMs();
  const { clock, operator, registerServers, unregisterServers } = fleet;
  const rollout = runRollout(ORDER, {
    clock,
    operator,
    servers: {
      startNew: () => registerServers("v2"),
      stopOld: () => unregisterServers("v1"),
      drainNew: () => registerServers("v2", true),
    },
    signal: new AbortController().signal,
  });
  return { ...fleet, orderedMs, rollout };
}

/** Returns how long after the 50th bad response sends to `v2` began, at the latest. */
function measureRollbackMs({ arrivals }: Pick<Fleet, "arrivals">): number {
  const bad = arrivals.filter(({ isFailed }) => isFailed);
  const last = arrivals.findLast(({ version }) => version === "v2");
  return last!.atMs - (bad[49]?.atMs ?? last!.atMs);
}

function countExposed({ arrivals }: Pick<Fleet, "arrivals">): number {
  return arrivals.filter(({ version }) => version === "v2").length;
}

describe("a rollout of several instances", () => {
  it("of a good version is completed in time, and old servers that stop at once have no calls", async () => {
    const fleet = await startOrdered({ regions: { north: 6, south: 2 } });
    await fleet.run(13_000);
    assert.deepEqual(await readRollout(fleet.store), {
      phase: "completed",
      status: "completed",
    });
    const { afterMs, state } = await fleet.rollout;
    assert.equal(state, "completed");
    assert.ok(afterMs <= 12_000, `${afterMs} ms`);
    const lastOld = fleet.arrivals
      .findLast(({ version }) => version === "v1")!.atMs;
    assert.ok(lastOld + 30 < fleet.orderedMs + afterMs);
    fleet.end();
  });

  it("of a bad version is rolled back within a second at all instances, within its exposure", async () => {
    const fleet = await startOrdered(BAD);
    await fleet.run(13_000);
    assert.equal((await fleet.rollout).state, "rolled_back");
    assert.ok(measureRollbackMs(fleet) <= ROLLBACK_TARGET_MS);
    assert.ok(fleet.arrivals.filter(({ isFailed }) => isFailed).length < 50);
    assert.ok(countExposed(fleet) <= 0.1 * fleet.arrivals.length + 50);
    // In the large region, the evidence goes to the two aggregators only.
    assert.deepEqual([...fleet.informed].sort(), [
      "north-0",
      "north-1",
      "south-0",
      "south-1",
    ]);
    fleet.end();
  });

  it("is rolled back by reports alone while the store is silent, and recorded when it is back", async () => {
    const fleet = await startOrdered(BAD);
    await fleet.run(600);
    assert.equal((await readRollout(fleet.store)).phase, "trial");
    fleet.store.setDown(true);
    await fleet.run(6_000);
    const exposed = countExposed(fleet);
    assert.ok(exposed > 0);
    assert.ok(measureRollbackMs(fleet) <= ROLLBACK_TARGET_MS);
    await fleet.run(4_000);
    assert.equal(countExposed(fleet), exposed);
    fleet.store.setDown(false);
    await fleet.run(4_000);
    assert.deepEqual(await readRollout(fleet.store), {
      phase: "rolled-back",
      status: "rolled_back",
    });
    assert.equal(countExposed(fleet), exposed);
    fleet.end();
  });

  it("has its status although the instance that decided dies before it writes it", async () => {
    const fleet = await startOrdered(BAD);
    for (let ms = 0; ms < 8_000; ms += 20) {
      const { phase } = await readRollout(fleet.store);
      if (phase === "rolled-back") break;
      await fleet.run(20);
    }
    assert.equal((await readRollout(fleet.store)).status, "running");
    fleet.instances.get("north-0")!.crash();
    await fleet.run(3_000);
    assert.equal((await readRollout(fleet.store)).status, "rolled_back");
    fleet.end();
  });

  it("stays rolled back in a store that is restored to a copy from its trial", async () => {
    const fleet = await startOrdered(BAD);
    await fleet.run(600);
    const backup = fleet.store.createBackup();
    await fleet.run(6_000);
    assert.equal((await readRollout(fleet.store)).phase, "rolled-back");
    const exposed = countExposed(fleet);
    fleet.store.restoreBackup(backup);
    await fleet.run(4_000);
    assert.deepEqual(await readRollout(fleet.store), {
      phase: "rolled-back",
      status: "rolled_back",
    });
    assert.equal(countExposed(fleet), exposed);
    fleet.end();
  });

  it("follows the order in force while its entry cannot be read", async () => {
    const fleet = await startOrdered({ regions: { north: 3 } });
    await fleet.run(1_000);
    await fleet.operator.overwriteRolloutWithInvalid(SERVICE);
    await fleet.run(12_000);
    assert.equal((await readRollout(fleet.store)).phase, "completed");
    fleet.end();
  });
});

describe("a rollout in a fleet whose calls are bound to a region", () => {
  it("is not completed without servers of the version in that region", async () => {
    const fleet = await startInstances({
      regions: { north: 2, south: 2 },
      homeRegions: ["north"],
    });
    await fleet.run(4_000);
    await fleet.registerServers("v2", false, ["south"]);
    await fleet.operator.orderRollout(ORDER);
    await fleet.run(13_000);
    const { rollouts } = fleet.instances.get("north-0")!.gateway;
    const [listed] = rollouts!.list();
    assert.equal(listed?.record?.order?.phase, "rolled-back");
    assert.equal(listed?.record?.order?.reason, "no-servers-in-region");
    fleet.end();
  });
});

describe("reports without an order", () => {
  it("are as long as where rollouts are off", async () => {
    const measure = async (hasRollouts: boolean) => {
      const fleet = await startInstances({
        regions: { north: 6, south: 2 },
        hasRollouts,
      });
      await fleet.clock.advance(1_000);
      const { reportBytes } = fleet.counted;
      await fleet.clock.advance(1_000);
      fleet.end();
      assert.ok(
        fleet.reports.every(({ rollouts = [] }) => rollouts.length === 0),
      );
      return fleet.counted.reportBytes - reportBytes;
    };
    assert.equal(await measure(true), await measure(false));
  });
});
