// Guards against instances that forward calls without asking their rollouts, or before they know what the store holds.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startInstances } from "./rollout_instances_fixture.ts";
import { SERVICE } from "./rollout_relay_fixture.ts";

const REGIONS = { north: 3, south: 3, west: 3 };
const ORDER = { service: SERVICE, destination: "v2", durationS: 12 } as const;

async function start(failedShare: number) {
  const fleet = await startInstances({
    regions: REGIONS,
    forwardsCalls: true,
    failedShare,
  });
  await fleet.run(4_000);
  await fleet.registerServers("v2");
  await fleet.run(500);
  const countNew = () =>
    fleet.arrivals.filter(({ version }) => version === "v2").length;
  return { ...fleet, countNew };
}

describe("instances that forward calls", () => {
  it("send nothing to a version that is not ordered, also after all restart", async () => {
    const { arrivals, countNew, end, instances, restart, run } = await start(0);
    instances.forEach(({ crash }) => crash());
    Object.entries(REGIONS).forEach(([region, count]) =>
      Array.from({ length: count }, (_, at) => restart(`${region}-${at}`))
    );
    const before = arrivals.length;
    await run(4_000);
    end();
    assert.ok(arrivals.length > before + 1_000, "calls were served again");
    assert.equal(countNew(), 0);
  });

  it("complete a good version", async () => {
    const { arrivals, end, operator, run } = await start(0);
    await operator.orderRollout(ORDER);
    await run(12_000);
    end();
    const status = await operator.readRolloutStatus(SERVICE);
    assert.equal(status?.state, "completed");
    assert.ok(arrivals.slice(-100).every(({ version }) => version === "v2"));
  });

  it("roll back a bad version within its exposure", async () => {
    const { arrivals, countNew, end, operator, run } = await start(0.3);
    const before = arrivals.length;
    await operator.orderRollout(ORDER);
    await run(12_000);
    end();
    const status = await operator.readRolloutStatus(SERVICE);
    assert.equal(status?.state, "rolled_back");
    assert.ok(countNew() > 0);
    assert.ok(countNew() <= 0.1 * (arrivals.length - before) + 50);
    assert.ok(arrivals.slice(-100).every(({ version }) => version === "v1"));
  });
});
