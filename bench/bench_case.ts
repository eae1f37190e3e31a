import { formatTable } from "../bin/format_table.ts";

/** Result of one benchmark. */
export interface BenchResult {
  /** Column headers of the table. */
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
  /** Figures by name, which the bounds in `baselines.json` apply to. */
  readonly figures: Readonly<Record<string, number>>;
  /** Lines that explain the figures, printed below the table. Default: none. */
  readonly notes?: readonly string[];
}

/** Benchmark that can be run by its name. */
export interface BenchCase {
  readonly name: string;
  readonly run: () => Promise<BenchResult>;
}

/** Prints a result as a table and notes, followed by one line of JSON with the figures. */
export function printResult(name: string, result: BenchResult): void {
  console.log(`\n${name}`);
  console.log(formatTable(result.head, result.rows));
  (result.notes ?? []).forEach((note) => console.log(note));
  console.log(JSON.stringify({ bench: name, ...result.figures }));
}

/** Returns a number as text for a table cell, with a fixed number of decimals. */
export function toCell(value: number, digits = 1): string {
  return value.toFixed(digits);
}

/** Returns a quantile of values, or 0 without values; `share` goes from 0 to 1. */
export function computeQuantile(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ] ?? 0;
}
