import assert from "node:assert/strict";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, it } from "node:test";
import { LogWriter } from "./log_writer.ts";

/** About a kilobyte: a few hundred such lines fill what may wait. */
const LINE = "x".repeat(1_000);
const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

function start() {
  const folder = mkdtempSync(join(tmpdir(), "log-"));
  const path = join(folder, "out.log");
  const fileDescriptor = openSync(path, "w");
  CLEAN_UPS.push(() => {
    closeSync(fileDescriptor);
    rmSync(folder, { recursive: true });
  });
  const read = () => readFileSync(path, "utf8").trimEnd().split("\n");
  return { writer: new LogWriter(fileDescriptor), read };
}

describe("LogWriter", () => {
  it("writes lines in their order", async () => {
    const { read, writer } = start();
    ["a", "b", "c"].forEach((line) => writer.write(line, "info"));
    await writer.close();
    assert.deepEqual(read(), ["a", "b", "c"]);
  });

  describe("when more lines come than may wait", () => {
    it("drops those about no failure first, and says how many", async () => {
      const { read, writer } = start();
      for (let count = 0; count < 400; count++) writer.write(LINE, "info");
      for (let count = 0; count < 50; count++) {
        writer.write(`failure ${count}`, "warn");
      }
      await writer.close();
      const lines = read();
      assert.equal(
        lines.filter((line) => line.startsWith("failure")).length,
        50,
      );
      const said = JSON.parse(lines.at(-1)!);
      assert.equal(said.message, "log lines dropped");
      const kept = lines.filter((line) => line === LINE).length;
      assert.equal(kept + said.count, 400);
      assert.ok(kept > 0 && kept < 200);
    });

    it("never holds more than its bound, also of failures", async () => {
      const { read, writer } = start();
      for (let count = 0; count < 1_000; count++) writer.write(LINE, "error");
      await writer.close();
      assert.ok(read().join("\n").length < 270_000);
    });
  });
});
