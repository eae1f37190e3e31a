import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { dirname } from "node:path";
import { after, describe, it } from "node:test";
import { buildProgram } from "../standin/build_program.ts";
import { runSoak } from "./run_soak.ts";

const PROGRAM = buildProgram();
after(() => rmSync(dirname(PROGRAM), { recursive: true, force: true }));

describe("runSoak()", () => {
  it("reports no broken promise after a short run on real processes", async () => {
    const report = await runSoak({
      program: PROGRAM,
      seed: 7,
      seconds: 16,
      instancesPerRegion: 1,
      print: () => {},
    });
    assert.deepEqual(report.violations, []);
    assert.ok(report.faults > 0);
    assert.ok(report.served > 0);
  });
});
