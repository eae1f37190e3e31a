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
