import { err, ok, type Result } from "neverthrow";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";

/** One error in a settings file. */
export interface SettingsProblem {
  /** Dotted key; empty if the error is about the whole file. */
  readonly key: string;
  /** Line in the file, counted from 1; `undefined` if unknown. */
  readonly line: number | undefined;
  /** Expected and actual value. */
  readonly message: string;
}

/**
 * Parses a TOML text and validates it against a schema. Every problem names the
 * key, its line, and the expected and the actual value.
 *
 * @param text Contents of the file.
 * @param schema Schema of the file.
 * @returns The parsed values, or all problems.
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

/** Formats a problem as one line of text. */
export function formatProblem(file: string, problem: SettingsProblem): string {
  const location = problem.line === undefined
    ? file
    : `${file}:${problem.line}`;
  const key = problem.key === "" ? "" : `"${problem.key}" `;
  return `${location}: Cannot parse settings: ${key}${problem.message}`;
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
  const actual = readPath(values, path);
  const actualText = actual === undefined
    ? "nothing"
    : JSON.stringify(actual).slice(0, 80);
  const message = `${
    issue.message.replace(/^./, (first) => first.toLowerCase())
  }, got ${actualText}`;
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

/** Finds the line of a key in its table; if the key is missing, the line of the table. */
function findLine(text: string, path: readonly string[]): number | undefined {
  const table = path.slice(0, -1).join(".");
  const key = path.at(-1) ?? "";
  let currentTable = "";
  let tableLine: number | undefined;
  const found = text.split("\n").findIndex((line, index) => {
    const header = /^\s*\[([^\]]+)\]/.exec(line)?.[1]?.trim();
    if (header !== undefined) currentTable = header;
    if (header === table || header === path.join(".")) tableLine = index + 1;
    return currentTable === table &&
      line.trimStart().replace(/^"|"(?=\s*=)/g, "")
          .split("=")[0]!.trim() === key;
  });
  return found >= 0 ? found + 1 : tableLine;
}
