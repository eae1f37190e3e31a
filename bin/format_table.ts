import Table from "cli-table3";

const NO_LINES = {
  "top": "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  "bottom": "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  "left": "",
  "left-mid": "",
  "mid": "",
  "mid-mid": "",
  "right": "",
  "right-mid": "",
  "middle": "  ",
};

/**
 * Returns a table for people.
 *
 * @param head Names of the columns.
 * @param rows Cells.
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const table = new Table({
    head: [...head],
    chars: NO_LINES,
    style: { "padding-left": 0, "padding-right": 0, head: [], border: [] },
  });
  table.push(...rows.map((row) => [...row]));
  return table.toString();
}
