// Bundles the platform's program into the file named by --outfile, and another one beside it. The
// first is small, so that it takes over the signals of the process before most of the program is
// read and compiled.
import { build } from "esbuild";
import { basename, dirname, join } from "node:path";
import { parseArgs } from "node:util";

const { values: { outfile } } = parseArgs({
  options: { outfile: { type: "string" } },
});
if (outfile === undefined) throw new Error("Wanted --outfile, got none");
const mainName = `${basename(outfile, ".cjs")}_main.cjs`;

const common = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "warning",
};

await Promise.all([
  build({
    ...common,
    entryPoints: ["bin/early_signals.ts"],
    outfile,
    footer: { js: `require("./${mainName}");` },
  }),
  build({
    ...common,
    entryPoints: ["bin/havenspur_platform.ts"],
    outfile: join(dirname(outfile), mainName),
    alias: {
      "undici": "./deploy/undici_core.js",
      "prom-client": "./deploy/prom_client_core.js",
      "node:http2": "./deploy/no_http2.js",
    },
  }),
]);
