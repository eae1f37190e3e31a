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

/** Words of the platform's wire that only its adapter may know. */
const WIRE_WORDS = [
  /x-havenspur-/i,
  /["'`/]havenspur\/(resolve|readiness|kv-|report|hold-)/,
  /HAVENSPUR_SETTINGS/,
  /\bop\/(config|evacuate)/,
  /\b(warmupRemainingMs|kvCacheTokens|targetLatencyMs|sessionAffinity)\b/,
];
/** Folders that stand in for the platform, and tests, may speak its words. */
const MAY_SPEAK = /^(platform|standin|tests)\/|_test\.ts$/;

/** Topic folders that decide: they take ports and know no sockets, files or globals. */
const DECIDING = [
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

/** Folders in the order of docs/ARCHITECTURE.md, each with its place from the bottom. */
function readFolderRanks(): ReadonlyMap<string, number> {
  const page = readSource("docs/ARCHITECTURE.md");
  const table = page.slice(page.indexOf("| folder | holds |"));
  const rows = table.split("\n").filter((line) => line.startsWith("| `"));
  return new Map(rows.flatMap((row, rank) => {
    const names = row.split("|")[1]!.match(/[a-z_]+/g) ?? [];
    return names.map((name): [string, number] => [name, rank]);
  }));
}

/** Imports from one topic folder into another, without those of tests. */
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
  it("import only from those above them in the architecture's table", () => {
    const ranks = readFolderRanks();
    const wrong = listFolderImports().filter(({ from, to }) =>
      (ranks.get(from) ?? -1) < (ranks.get(to) ?? Number.POSITIVE_INFINITY)
    );
    assert.deepEqual(wrong, []);
  });

  it("never import each other", () => {
    const imports = listFolderImports();
    const edges = new Set(imports.map(({ from, to }) => `${from} ${to}`));
    const mutual = imports.filter(({ from, to }) => edges.has(`${to} ${from}`));
    assert.deepEqual(mutual, []);
  });

  it("leave the daemon to programs, benchmarks and stand-ins", () => {
    const naming = listFolderImports().filter(({ to }) => to === "daemon")
      .filter(({ from }) =>
        !["bin", "bench", "standin", "platform"].includes(from)
      );
    assert.deepEqual(naming, []);
  });
});

describe("the sources", () => {
  it("speak the platform's words in its adapter alone", () => {
    const speaking = listSources().filter((path) => !MAY_SPEAK.test(path))
      .filter((path) => WIRE_WORDS.some((word) => word.test(readSource(path))));
    assert.deepEqual(speaking, []);
  });

  it("of folders that decide import no sockets, programs or globals", () => {
    const reaching = listSources()
      .filter((path) => DECIDING.includes(path.split("/")[0]!))
      .filter((path) => !path.endsWith("_test.ts"))
      .filter((path) => {
        const text = readSource(path);
        return OUTER_FOLDERS.test(text) ||
          /from "node:(net|http|fs|dgram)"/.test(text) ||
          /Date\.now\(|Math\.random\(|[^.\w]set(Timeout|Interval)\(/.test(text);
      });
    assert.deepEqual(reaching, []);
  });
});
