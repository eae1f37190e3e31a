import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RolloutFleetSim } from "../bench/rollouts_fleet.ts";
import type { BadKind, Fault } from "../bench/rollouts_servers.ts";

function run(kind: BadKind, fault: Fault, seed: number) {
  return new RolloutFleetSim({
    seed,
    kind,
    fault,
    instances: 9,
    callsPerSecond: 150,
    serversPerRegion: 4,
  }).run();
}

describe("a fleet of 9 trackers", () => {
  // Guards against good versions that faults of servers, store or instances roll back.
  const faults: readonly Fault[] = [
    "none",
    "new-server-crashes",
    "new-server-fails",
    "responses-lost",
    "store-down",
    "region-cut",
  ];
  for (const fault of faults) {
    it(`completes a good version beside ${fault}, with no call left behind`, () => {
      const { previousCalls, state } = run("good", fault, 3);
      assert.equal(state, "completed");
      assert.equal(previousCalls, 0);
    });
  }

  // Guards against bad versions that pass, exceed their exposure or are used for too long.
  const kinds: readonly (readonly [BadKind, Fault])[] = [
    ["fails-30%", "all-restart"],
    ["slow-3x", "reports-lost"],
    ["truncates-25%", "store-down"],
    ["fails-later", "none"],
    ["fails-under-load", "none"],
    ["fails-rarest-route", "none"],
    ["gaps-4x", "instances-restart"],
  ];
  for (const [kind, fault] of kinds) {
    it(`rolls ${kind} back beside ${fault}, within exposure and time`, () => {
      const { exposureUsed, rollbackMs, state } = run(kind, fault, 3);
      assert.equal(state, "rolled-back");
      assert.ok(exposureUsed <= 1, `${exposureUsed}`);
      assert.ok(rollbackMs <= 5_000, `${rollbackMs}`);
    });
  }
});
