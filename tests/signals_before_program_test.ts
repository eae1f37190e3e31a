// Guards against a SIGHUP that ends an instance while its program is still read and compiled.
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readdirSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";
import { buildProgram } from "../standin/build_program.ts";

/** A main bundle that signals its own process before it has run anything else. */
const SIGNALLED_MAIN = `
process.kill(process.pid, "SIGHUP");
setTimeout(() => console.log("alive"), 50);
`;

describe("the platform's program", () => {
  it("survives a SIGHUP that comes before its main bundle has run", () => {
    const program = buildProgram();
    const folder = dirname(program);
    const main = readdirSync(folder).find((name) => name.endsWith("_main.cjs"));
    assert.ok(main !== undefined);
    writeFileSync(join(folder, main), SIGNALLED_MAIN);
    const { signal, stdout } = spawnSync(process.execPath, [program]);
    assert.equal(signal, null);
    assert.equal(String(stdout), "alive\n");
  });
});
