import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../clock/mod.ts";
import { CapacityMonitor } from "./capacity_monitor.ts";
import { CarriedWork } from "./carried_work.ts";
import {
  computeRatedCores,
  listCapacityWeights,
  toCapacityClass,
} from "./instance_capacity.ts";
import { pickByCapacity } from "./pick_weighted.ts";

const SAMPLE_INTERVAL_MS = 250;

describe("computeRatedCores()", () => {
  // An instance would get more calls than its link of 7 Mbit/s carries.
  it("counts an instance with a narrow link by its link, in classes of a factor of 2", () => {
    assert.equal(computeRatedCores({ cores: 1.35, linkMbps: 140 }), 1.35);
    assert.equal(computeRatedCores({ cores: 0.675, linkMbps: 7 }), 0.438);
    assert.equal(computeRatedCores({ memoryMb: 602 }), undefined);
    const classes = [1.35, 1.1, 0.675].map((ratedCores) =>
      toCapacityClass({ ratedCores, currentCores: 0.1 })
    );
    assert.deepEqual(classes, [0, 0, -1]);
  });
});

describe("the capacity of the instance itself", () => {
  // An instance that ranks itself by another capacity than others do takes no role that
  // they expect of it, and names other addresses to callers than they do.
  it("is the one that others decode from its reports, in thousandths of a core", () => {
    const others = { ratedCores: 0.3, currentCores: 0.3 };
    const own = computeRatedCores({ cores: 0.1 * 3 })!;
    const ownCapacity = { ratedCores: own, currentCores: own };
    const members = [{ capacity: ownCapacity }, { capacity: others }];
    assert.equal(listCapacityWeights(members), undefined);
    const half = computeRatedCores({ cores: 0.49999 })!;
    assert.equal(
      toCapacityClass({ ratedCores: half, currentCores: half }),
      toCapacityClass({ ratedCores: 0.5, currentCores: 0.5 }),
    );
    assert.equal(computeRatedCores({ cores: 0.0001 }), 0.001);
  });
});

describe("CapacityMonitor", () => {
  // Callers move at each change: a pause of the process must cause none.
  it("reports less in steps while the event loop or the link is behind, and recovers", () => {
    const monitor = new CapacityMonitor({ cores: 1, linkMbps: 100 });
    let nowMs = 0;
    let linkBytes = 0;
    const run = (forMs: number, loopDelayMs: number, bytesPerSecond = 0) => {
      for (const endMs = nowMs + forMs; nowMs < endMs;) {
        nowMs += SAMPLE_INTERVAL_MS;
        linkBytes += bytesPerSecond * SAMPLE_INTERVAL_MS / 1_000;
        monitor.record({ nowMs, loopDelayMs, linkBytes });
      }
      return monitor.capacity!.currentCores;
    };
    assert.equal(run(5_000, 20, 1_000_000), 1);
    assert.equal(run(SAMPLE_INTERVAL_MS, 3_000), 1);
    assert.equal(run(1_000, 150), 0.5);
    assert.equal(run(60_000, 150), 0.25);
    assert.equal(run(8_000, 0), 0.5);
    assert.equal(run(6_000, 0), 1);
    assert.equal(run(2_000, 0, 12_000_000), 0.5);
    assert.equal(new CapacityMonitor({}).capacity, undefined);
  });
});

describe("CapacityMonitor at the start of an instance", () => {
  // On 0.243 cores the work of a start would halve the capacity for the next 6 s.
  it("reports the rated capacity while the event loop is late in the first seconds only", () => {
    const monitor = new CapacityMonitor({ cores: 0.243 });
    const reported = Array.from({ length: 40 }, (_, at) => {
      const nowMs = at * SAMPLE_INTERVAL_MS;
      const loopDelayMs = nowMs < 3_000 ? 400 : 0;
      monitor.record({ nowMs, loopDelayMs, linkBytes: 0 });
      return monitor.capacity!.currentCores;
    });
    assert.deepEqual([...new Set(reported)], [0.243]);
  });

  it("reports less once the event loop stays late after the first seconds", () => {
    const monitor = new CapacityMonitor({ cores: 0.243 });
    for (let nowMs = 0; nowMs <= 5_000; nowMs += SAMPLE_INTERVAL_MS) {
      monitor.record({ nowMs, loopDelayMs: 400, linkBytes: 0 });
    }
    assert.equal(monitor.capacity!.currentCores, 0.1215);
  });
});

describe("pickByCapacity()", () => {
  it("picks in proportion to the present capacities, or uniformly if one is unknown", () => {
    const random = createRandom(3);
    const countPicked = (sizes: readonly (number | undefined)[]) => {
      const members = sizes.map((cores) =>
        cores === undefined
          ? {}
          : { capacity: { ratedCores: cores, currentCores: cores } }
      );
      const picked = Array.from(
        { length: 8_000 },
        () => members.indexOf(pickByCapacity(members, random)!),
      );
      return sizes.map((_, at) => picked.filter((one) => one === at).length);
    };
    const assertNear = (counts: readonly number[], wanted: readonly number[]) =>
      counts.forEach((count, at) =>
        assert.ok(Math.abs(count - wanted[at]!) < 200, `${counts}`)
      );
    assertNear(countPicked([1, 2, 5]), [1_000, 2_000, 5_000]);
    assertNear(countPicked([1, 5, 5, undefined]), [2_000, 2_000, 2_000, 2_000]);
    assert.equal(pickByCapacity([], random), undefined);
  });
});

describe("CarriedWork", () => {
  it("bounds calls, connections and bodies of the smallest instance, and nothing without limits", () => {
    const count = (attempt: () => boolean) =>
      Array.from({ length: 5_000 }, attempt).filter((done) => done).length;
    const begin = (work: CarriedWork) => count(() => !work.beginCall());
    const small = new CarriedWork({ cores: 0.243, memoryMb: 210 });
    // 7 ms of processor time for each call, over the 12 s for which a call may last.
    const carried = 0.243 / 0.007 * 12;
    const begun = begin(small);
    assert.ok(begun >= 0.99 * carried && begun <= 1.01 * carried, `${begun}`);
    assert.equal(count(() => small.reserveBody(1_000_000)), 36);
    small.endCall(1_000_000);
    assert.equal(small.beginCall(), undefined);
    assert.ok(small.reserveBody(1_000_000));
    const narrow = new CarriedWork({ fileDescriptors: 402 });
    assert.equal(count(() => narrow.openConnection()), 165);
    assert.equal(narrow.beginCall(), "connections");
    const unbounded = new CarriedWork({});
    assert.equal(count(() => unbounded.openConnection()), 5_000);
    assert.equal(begin(unbounded), 5_000);
  });

  // Heads of many pieces filled the heap, as only the bytes of bodies were counted.
  it("bounds the memory for heads, which leaves less for bodies", () => {
    const work = new CarriedWork({ memoryMb: 400, heapMb: 200 });
    assert.equal(work.beginCall(79_000_000), undefined);
    assert.equal(work.beginCall(2_000_000), "memory");
    assert.equal(work.beginCall(), undefined);
    assert.ok(work.reserveBody(73_000_000));
    assert.equal(work.reserveBody(1_000_000), false);
    work.endCall(73_000_000, 79_000_000);
    assert.equal(work.beginCall(2_000_000), undefined);
    assert.ok(work.reserveBody(74_000_000));
    assert.equal(new CarriedWork({}).beginCall(1e12), undefined);
  });
});
