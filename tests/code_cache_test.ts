// Guards against a code cache that ends the process at its start, or runs another bundle's code.
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, beforeEach, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const LOADER = fileURLToPath(
  new URL("../../deploy/load_main.cjs", import.meta.url),
);
const FUNCTION_COUNT = 300;

describe("the loader of the main bundle", () => {
  const folder = mkdtempSync(join(tmpdir(), "code-cache-test-"));
  const bundle = join(folder, "main.cjs");
  const cache = `${bundle}.cache`;
  const starter = join(folder, "start.cjs");
  let whole: Buffer;

  const run = (...options: readonly string[]) =>
    execFileSync(process.execPath, [...options, starter, bundle], {
      encoding: "utf8",
      stdio: ["ignore", "pipe", "ignore"],
    });
  const runWithCache = (content: Buffer, ...options: readonly string[]) => {
    writeFileSync(cache, content);
    return run(...options);
  };

  const writeBundle = (result: string) => {
    const functions = Array.from(
      { length: FUNCTION_COUNT },
      (_, at) => `function f${at}(x) { return x + ${at}; }`,
    );
    const sum = functions.map((_, at) => `f${at}(1)`).join("+");
    writeFileSync(
      bundle,
      `${functions.join("\n")}\n${sum};console.log("${result}")`,
    );
  };

  before(() => {
    writeBundle("one");
    writeFileSync(
      starter,
      `${readFileSync(LOADER, "utf8")}
const script = runMain(process.argv[2], require);
console.log(script.cachedDataRejected);
if (process.argv[3] === "write") writeCache(process.argv[2], script);`,
    );
    execFileSync(process.execPath, [starter, bundle, "write"]);
    whole = readFileSync(cache);
  });
  beforeEach(() => writeBundle("one"));
  after(() => rmSync(folder, { recursive: true }));

  it("uses a whole cache", () => {
    assert.equal(runWithCache(whole), "one\nfalse\n");
  });

  it("compiles the bundle without a cache, or with one of other options", () => {
    rmSync(cache);
    assert.equal(run(), "one\nundefined\n");
    assert.equal(runWithCache(whole, "--no-opt"), "one\ntrue\n");
  });

  it("compiles the bundle if the cache is cut short or damaged", () => {
    [0, 10, 32, 200, whole.length - 1].forEach((length) =>
      assert.equal(
        runWithCache(whole.subarray(0, length)),
        "one\nundefined\n",
        `${length} bytes`,
      )
    );
    const damaged = Buffer.from(whole);
    damaged.fill(0xff, damaged.length / 2, damaged.length / 2 + 64);
    assert.equal(runWithCache(damaged), "one\nundefined\n");
  });

  it("compiles another bundle of the same length", () => {
    writeBundle("two");
    assert.equal(runWithCache(whole), "two\nundefined\n");
  });
});
