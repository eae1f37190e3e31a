import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { runSoak, type SoakReport } from "./run_soak.ts";

const FOLDER = mkdtempSync(join(tmpdir(), "lost-instance-"));
after(() => rmSync(FOLDER, { recursive: true, force: true }));

/** Plays a run with a program of one statement in place of the built one. */
function play(statement: string): Promise<SoakReport> {
  const program = join(FOLDER, `${Math.random()}.cjs`);
  writeFileSync(program, statement);
  return runSoak({
    program,
    seed: 1,
    seconds: 1,
    instancesPerRegion: 1,
    print: () => {},
  });
}

const READY =
  `const [, host] = /ipAddress=(.*)/.exec(require("fs").readFileSync(process.env.HAVENSPUR_SETTINGS, "utf8"));
  require("http").createServer((_, response) => response.end("{}")).listen(8140, host);`;

// A run that waits for an instance that is gone never ends.
describe("runSoak(), when an instance is gone that nobody has stopped", () => {
  it("ends while the instances start, and says which and with what exit code", async () => {
    const { violations } = await play("process.exit(7)");
    assert.equal(violations.length, 1);
    assert.equal(
      violations[0]?.promise,
      "instances run until they are stopped",
    );
    assert.match(
      violations[0].detail,
      /^front-\w+-a-\d ended with exit code 7, \d+ ms/,
    );
  });

  it("ends within the traffic, and says with what signal", async () => {
    const { violations } = await play(
      `${READY} setTimeout(() => process.kill(process.pid, "SIGUSR2"), 800);`,
    );
    assert.equal(violations.length, 1);
    assert.match(violations[0]!.detail, /ended with signal SIGUSR2/);
  });

  it("leaves no process that holds the ports of the next run", async () => {
    // A port that is taken ends the program with 1.
    const statement = `${READY} setTimeout(() => process.exit(7), 800);`;
    for (let run = 0; run < 3; run++) {
      const { violations } = await play(statement);
      assert.match(violations[0]!.detail, /ended with exit code 7/);
    }
  });

  it("counts an exit without a failure too", async () => {
    const { violations } = await play("process.exit(0)");
    assert.match(violations[0]!.detail, /ended with exit code 0/);
  });
});
