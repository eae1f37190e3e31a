import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../clock/mod.ts";
import { CapacityMonitor } from "./capacity_monitor.ts";
import { CarriedWork } from "./carried_work.ts";
import { computeRatedCores, toCapacityClass } from "./instance_capacity.ts";
import { pickByCapacity } from "./pick_weighted.ts";

const SAMPLE_INTERVAL_MS = 250;

function createMonitor(linkMbps = 100) {
  const monitor = new CapacityMonitor({ cores: 1, linkMbps });
  let nowMs = 0;
  let linkBytes = 0;
  const run = (forMs: number, loopDelayMs: number, bytesPerSecond = 0) => {
    for (const endMs = nowMs + forMs; nowMs < endMs;) {
      nowMs += SAMPLE_INTERVAL_MS;
      linkBytes += bytesPerSecond * SAMPLE_INTERVAL_MS / 1_000;
      monitor.record({ nowMs, loopDelayMs, linkBytes });
    }
    return monitor.capacity?.currentCores;
  };
  return { monitor, run };
}

describe("computeRatedCores()", () => {
  // An instance would get more calls than its link of 7 Mbit/s carries.
  it("counts an instance with a narrow link by its link", () => {
    assert.equal(computeRatedCores({ cores: 1.35, linkMbps: 140 }), 1.35);
    assert.ok(computeRatedCores({ cores: 0.675, linkMbps: 7 })! < 0.5);
    assert.equal(computeRatedCores({ memoryMb: 602 }), undefined);
  });

  it("gives classes that differ by a factor of 2", () => {
    const toClass = (cores: number) =>
      toCapacityClass({ ratedCores: cores, currentCores: cores });
    assert.equal(toClass(1.35), toClass(1.1));
    assert.equal(toClass(1.35) - toClass(0.675), 1);
  });
});

describe("CapacityMonitor", () => {
  it("reports no capacity without limits, and the rated one while the instance keeps up", () => {
    assert.equal(new CapacityMonitor({}).capacity, undefined);
    assert.equal(createMonitor().run(5_000, 20, 1_000_000), 1);
  });

  it("ignores a single pause of the process", () => {
    const { run } = createMonitor();
    assert.equal(run(SAMPLE_INTERVAL_MS, 3_000), 1);
    assert.equal(run(5_000, 0), 1);
  });

  it("reports less in steps while the event loop or the link is behind, and recovers", () => {
    const { run } = createMonitor();
    assert.equal(run(1_000, 150), 0.5);
    assert.equal(run(60_000, 150), 0.25);
    assert.equal(run(5_000, 0), 0.25);
    assert.equal(run(3_000, 0), 0.5);
    assert.equal(run(6_000, 0), 1);
    assert.equal(run(2_000, 0, 12_000_000), 0.5);
  });
});

describe("pickByCapacity()", () => {
  it("picks in proportion to the present capacities", () => {
    const random = createRandom(3);
    const members = [1, 2, 5].map((cores) => ({
      cores,
      capacity: { ratedCores: cores, currentCores: cores },
    }));
    const counts = new Map<number, number>();
    for (let at = 0; at < 8_000; at++) {
      const { cores } = pickByCapacity(members, random)!;
      counts.set(cores, (counts.get(cores) ?? 0) + 1);
    }
    members.forEach(({ cores }) =>
      assert.ok(Math.abs(counts.get(cores)! / 1_000 - cores) < 0.15)
    );
  });

  it("picks uniformly if a capacity is unknown, and nothing from nothing", () => {
    const random = createRandom(3);
    const members = [{ capacity: { ratedCores: 9, currentCores: 9 } }, {}];
    const picked = Array.from(
      { length: 1_000 },
      () => pickByCapacity(members, random),
    );
    const share = picked.filter((one) => one === members[0]).length / 1_000;
    assert.ok(Math.abs(share - 0.5) < 0.05);
    assert.equal(pickByCapacity([], random), undefined);
  });
});

describe("CarriedWork", () => {
  it("bounds nothing without limits", () => {
    const work = new CarriedWork({});
    for (let at = 0; at < 20_000; at++) {
      assert.ok(work.openConnection());
      assert.equal(work.beginCall(), undefined);
      assert.ok(work.reserveBody(1_000_000));
    }
  });

  it("carries on the smallest instance several times its usual calls, and no more", () => {
    const work = new CarriedWork({
      cores: 0.243,
      memoryMb: 210,
      fileDescriptors: 2_212,
    });
    const begun = Array.from({ length: 300 }, () => work.beginCall());
    assert.equal(begun.filter((scarce) => scarce === undefined).length, 243);
    assert.equal(begun.at(-1), "processor");
    work.endCall(0);
    assert.equal(work.beginCall(), undefined);
  });

  it("closes connections only beyond those that it refuses with an answer", () => {
    const work = new CarriedWork({ fileDescriptors: 402 });
    const opened = Array.from({ length: 200 }, () => work.openConnection());
    assert.equal(opened.filter((mayStay) => mayStay).length, 165);
    assert.equal(work.beginCall(), "connections");
  });

  it("accepts a single body that is larger than its memory for bodies", () => {
    const work = new CarriedWork({ memoryMb: 50 });
    assert.ok(work.reserveBody(1_000_000));
    assert.ok(!work.reserveBody(1));
  });
});
