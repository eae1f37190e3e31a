import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const PROGRAM = fileURLToPath(new URL("failing_program.js", import.meta.url));

describe("handleProcessErrors()", () => {
  const { status, stdout } = spawnSync(process.execPath, [PROGRAM], {
    encoding: "utf8",
  });
  const count = (pattern: RegExp) => stdout.match(pattern)?.length;

  // A rejection that nobody takes ends the process with all its calls, and a series with it.
  it("logs the errors of a series of calls, which continues", () => {
    assert.equal(count(/"kind":"rejection".*a series that fails/g), 3);
  });

  it("logs errors that interrupt code, and leaves once", () => {
    assert.equal(count(/"kind":"exception".*code that is interrupted/g), 2);
    assert.equal(count(/^leaves$/gm), 1);
    assert.equal(status, 7);
  });
});
