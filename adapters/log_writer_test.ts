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

/** Line of about a kilobyte: a few hundred of them reach the bound on pending bytes. */
const LINE = "x".repeat(1_000);
const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

function createWriter() {
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
  it("writes lines in order", async () => {
    const { read, writer } = createWriter();
    ["a", "b", "c"].forEach((line) => writer.write(line, "info"));
    await writer.close();
    assert.deepEqual(read(), ["a", "b", "c"]);
  });

  describe("when lines exceed the bound on pending bytes", () => {
    it("drops lines below level `warn` first, and logs how many", async () => {
      const { read, writer } = createWriter();
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
      const report = JSON.parse(lines.at(-1)!);
      assert.equal(report.message, "log lines dropped");
      const written = lines.filter((line) => line === LINE).length;
      assert.equal(written + report.count, 400);
      assert.ok(written > 0 && written < 200);
    });

    it("keeps to the bound for lines about failures, too", async () => {
      const { read, writer } = createWriter();
      for (let count = 0; count < 1_000; count++) writer.write(LINE, "error");
      await writer.close();
      assert.ok(read().join("\n").length < 270_000);
    });
  });
});
