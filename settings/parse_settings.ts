import { err, ok, type Result } from "neverthrow";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";

/** One thing that is wrong with a settings file. */
export interface SettingsProblem {
  /** Key with dots, or empty for the file. */
  readonly key: string;
  /** Line in the file, from 1, where it is known. */
  readonly line: number | undefined;
  /** What was wanted and what was got. */
  readonly message: string;
}

/**
 * Parses a TOML text and checks it against a schema. Every problem is named by
 * its key, the line where it can be found, what was wanted and what was got.
 *
 * @param text The file.
 * @param schema What it must hold.
 */
export function parseSettings<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Result<z.output<Schema>, readonly SettingsProblem[]> {
  let values: unknown;
  try {
    values = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const message = error.message.split("\n")[0]!;
    return err([{ key: "", line: error.line, message }]);
  }
  const parsed = schema.safeParse(values);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.flatMap((issue) => toProblems(text, values, issue)),
  );
}

/** Returns a problem as one line of text. */
export function formatProblem(file: string, problem: SettingsProblem): string {
  const place = problem.line === undefined ? file : `${file}:${problem.line}`;
  const key = problem.key === "" ? "" : `"${problem.key}" `;
  return `${place}: Cannot parse settings: ${key}${problem.message}`;
}

function toProblems(
  text: string,
  values: unknown,
  issue: z.core.$ZodIssue,
): readonly SettingsProblem[] {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      key: [...path, key].join("."),
      line: findLine(text, [...path, key]),
      message: "is not a known key",
    }));
  }
  const got = readPath(values, path);
  const shown = got === undefined
    ? "nothing"
    : JSON.stringify(got).slice(0, 80);
  const message = `${
    issue.message.replace(/^./, (first) => first.toLowerCase())
  }, got ${shown}`;
  return [{ key: path.join("."), line: findLine(text, path), message }];
}

function readPath(values: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === "object" && value !== null
        ? (value as Record<string, unknown>)[key]
        : undefined,
    values,
  );
}

/** Finds the line of a key in its table; of the table, if the key is missing. */
function findLine(text: string, path: readonly string[]): number | undefined {
  const table = path.slice(0, -1).join(".");
  const key = path.at(-1) ?? "";
  let current = "";
  let tableLine: number | undefined;
  const found = text.split("\n").findIndex((line, index) => {
    const header = /^\s*\[([^\]]+)\]/.exec(line)?.[1]?.trim();
    if (header !== undefined) current = header;
    if (header === table || header === path.join(".")) tableLine = index + 1;
    return current === table && line.trimStart().replace(/^"|"(?=\s*=)/g, "")
          .split("=")[0]!.trim() === key;
  });
  return found >= 0 ? found + 1 : tableLine;
}
