import { execFileSync } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/**
 * Builds the program that the platform runs, a bundle without unused parts of libraries.
 *
 * @returns Path of the program, in a new temporary folder.
 */
export function buildProgram(): string {
  const path = join(mkdtempSync(join(tmpdir(), "program-")), "havenspur.cjs");
  const args = ["run", "-s", "build:platform", "--", `--outfile=${path}`];
  execFileSync("npm", args, { cwd: ROOT });
  return path;
}
