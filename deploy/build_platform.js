// Bundles the platform's program into the file named by --outfile, and another one beside it. The
// first is small, so that it takes over the signals of the process before most of the program is
// read and compiled. Beside the second lies its code cache.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { basename, dirname, join, resolve } from "node:path";
import { parseArgs } from "node:util";

/** Time after which a build goes on without a code cache, in milliseconds. */
const CACHE_TIMEOUT_MS = 30_000;

const { values: { outfile } } = parseArgs({
  options: { outfile: { type: "string" } },
});
if (outfile === undefined) throw new Error("Wanted --outfile, got none");
const mainName = `${basename(outfile, ".cjs")}_main.cjs`;
const mainPath = resolve(dirname(outfile), mainName);
const loaderPath = resolve("deploy/load_main.cjs");

const common = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "warning",
};

const [, { outputFiles: [main] }] = await Promise.all([
  build({
    ...common,
    entryPoints: ["bin/early_signals.ts"],
    outfile,
    footer: {
      js: `${readFileSync(loaderPath, "utf8")}
runMain(require("node:path").join(__dirname, "${mainName}"), require);`,
    },
  }),
  build({
    ...common,
    entryPoints: ["bin/havenspur_platform.ts"],
    outfile: mainPath,
    write: false,
    alias: {
      "undici": "./deploy/undici_core.js",
      "prom-client": "./deploy/prom_client_core.js",
      "node:http2": "./deploy/no_http2.js",
    },
  }),
]);
// The loader wraps the bundle in a function, before which no line for a shell may stand.
writeFileSync(mainPath, main.text.replace(/^#!.*/, ""));
rmSync(`${mainPath}.cache`, { force: true });
// Without a code cache the program runs all the same, and starts more slowly.
const written = spawnSync(
  process.execPath,
  [
    ...readNodeOptions(),
    resolve("deploy/write_code_cache.cjs"),
    loaderPath,
    mainPath,
  ],
  { stdio: ["ignore", "ignore", "inherit"], timeout: CACHE_TIMEOUT_MS },
);
if (written.status !== 0) console.error("The program has no code cache");

/** Returns the options of Node with which deploy/system.toml runs the program. */
function readNodeOptions() {
  const settings = readFileSync(join("deploy", "system.toml"), "utf8");
  const [, options = ""] = /^run = "node (.*?)\s*\S+\.cjs"/m.exec(settings) ??
    [];
  return options.split(" ").filter((option) => option !== "");
}
