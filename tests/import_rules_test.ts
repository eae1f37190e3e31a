import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readdirSync, readFileSync } from "node:fs";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const SKIPPED: ReadonlySet<string> = new Set([
  "node_modules",
  "dist",
  "target",
  "journal",
  ".git",
  ".tap",
]);

/** Names in the platform's protocols that only its adapter may use. */
const PLATFORM_NAMES = [
  /x-havenspur-/i,
  /["'`/]havenspur\/(resolve|readiness|kv-|report|hold-)/,
  /HAVENSPUR_SETTINGS/,
  /\bop\/(config|evacuate|rollout)/,
  /\b(warmupRemainingMs|kvCacheTokens|targetLatencyMs|sessionAffinity)\b/,
];
/** Sources that may use the platform's names: its adapter, its stand-ins and tests. */
const MAY_USE_PLATFORM_NAMES = /^(platform|standin|tests)\/|_test\.ts$/;

/** Topic folders with decision logic: they depend on ports, and use no sockets, files or globals. */
const DECISION_FOLDERS = [
  "rollouts",
  "http_routes",
  "servers",
  "fleet",
  "state",
  "forwarding",
  "directory",
];
const OUTER_FOLDERS = /from "\.\.\/(adapters|platform|daemon|bin|standin)\//;

function listSources(folder = ROOT): readonly string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    if (SKIPPED.has(entry.name)) return [];
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listSources(path);
    return path.endsWith(".ts") ? [relative(ROOT, path)] : [];
  });
}

function readSource(path: string): string {
  return readFileSync(join(ROOT, path), "utf8");
}

/** Returns the rank of each folder, its row in the table of docs/ARCHITECTURE.md. */
function readFolderRanks(): ReadonlyMap<string, number> {
  const page = readSource("docs/ARCHITECTURE.md");
  const table = page.slice(page.indexOf("| folder | holds |"));
  const rows = table.split("\n").filter((line) => line.startsWith("| `"));
  return new Map(rows.flatMap((row, rank) => {
    const names = row.split("|")[1]!.match(/[a-z_]+/g) ?? [];
    return names.map((name): [string, number] => [name, rank]);
  }));
}

/** Returns imports from one topic folder into another, without those of tests. */
function listFolderImports(): readonly {
  readonly path: string;
  readonly from: string;
  readonly to: string;
}[] {
  return listSources().filter((path) =>
    !path.endsWith("_test.ts") && !path.startsWith("tests/")
  ).flatMap((path) => {
    const from = path.split("/")[0]!;
    return [...readSource(path).matchAll(/from "\.\.\/([a-z_]+)\//g)]
      .map((found) => ({ path, from, to: found[1]! }))
      .filter(({ to }) => to !== from);
  });
}

describe("the folders", () => {
  it("import only from folders above them in the table of docs/ARCHITECTURE.md", () => {
    const ranks = readFolderRanks();
    const violations = listFolderImports().filter(({ from, to }) =>
      (ranks.get(from) ?? -1) < (ranks.get(to) ?? Number.POSITIVE_INFINITY)
    );
    assert.deepEqual(violations, []);
  });

  it("never import each other", () => {
    const imports = listFolderImports();
    const edges = new Set(imports.map(({ from, to }) => `${from} ${to}`));
    const mutual = imports.filter(({ from, to }) => edges.has(`${to} ${from}`));
    assert.deepEqual(mutual, []);
  });

  it("import the daemon only in programs, benchmarks, stand-ins and the platform adapter", () => {
    const violations = listFolderImports().filter(({ to }) => to === "daemon")
      .filter(({ from }) =>
        !["bin", "bench", "standin", "platform"].includes(from)
      );
    assert.deepEqual(violations, []);
  });
});

describe("the sources", () => {
  it("use the platform's names only in its adapter", () => {
    const violations = listSources().filter((path) =>
      !MAY_USE_PLATFORM_NAMES.test(path)
    )
      .filter((path) =>
        PLATFORM_NAMES.some((name) => name.test(readSource(path)))
      );
    assert.deepEqual(violations, []);
  });

  it("of folders with decision logic import no sockets, files or outer folders, and use no global clocks, timers or random numbers", () => {
    const violations = listSources()
      .filter((path) => DECISION_FOLDERS.includes(path.split("/")[0]!))
      .filter((path) => !path.endsWith("_test.ts"))
      .filter((path) => {
        const text = readSource(path);
        return OUTER_FOLDERS.test(text) ||
          /from "node:(net|http|fs|dgram)"/.test(text) ||
          /Date\.now\(|Math\.random\(|[^.\w]set(Timeout|Interval)\(/.test(text);
      });
    assert.deepEqual(violations, []);
  });
});
