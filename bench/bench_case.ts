import { formatTable } from "../bin/format_table.ts";

/** What a benchmark brings. */
export interface BenchResult {
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
  /** Figures by name; bounds in `baselines.json` are on these. */
  readonly figures: Readonly<Record<string, number>>;
  /** What the figures mean, in a line or two. Default: nothing. */
  readonly notes?: readonly string[];
}

/** One benchmark. */
export interface BenchCase {
  readonly name: string;
  readonly run: () => Promise<BenchResult>;
}

/** Prints a result: a table, notes, and one JSON line last. */
export function printResult(name: string, result: BenchResult): void {
  console.log(`\n${name}`);
  console.log(formatTable(result.head, result.rows));
  (result.notes ?? []).forEach((note) => console.log(note));
  console.log(JSON.stringify({ bench: name, ...result.figures }));
}

/** Returns a number with as many digits as are worth reading. */
export function toCell(value: number, digits = 1): string {
  return value.toFixed(digits);
}

/** Returns the value at a share of a list, from 0 to 1. */
export function readQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ] ?? 0;
}
