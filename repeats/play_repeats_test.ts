import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, describe, it } from "node:test";
import { buildProgram } from "../standin/build_program.ts";
import { playRepeats } from "./play_repeats.ts";

const PROGRAM = buildProgram();
const LOGS = mkdtempSync(join(tmpdir(), "repeats-"));
after(() =>
  [dirname(PROGRAM), LOGS].forEach((folder) =>
    rmSync(folder, { recursive: true, force: true })
  )
);

describe("playRepeats()", () => {
  describe("beside copied refusals and servers that are started anew", () => {
    it("finds calls that were misdirected, and none that ran twice", async () => {
      const report = await playRepeats({
        program: PROGRAM,
        seed: 1,
        seconds: 10,
        instancesPerRegion: 1,
        serversPerRegion: 1,
        faults: ["copied-refusals"],
        disturbances: ["restarted-servers"],
        logFolder: LOGS,
      });
      assert.ok(report.served > 0);
      assert.ok(report.misdirected > 0);
      assert.deepEqual(report.broken, []);
    });
  });
});
