import Table from "cli-table3";

const NO_BORDERS = {
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
 * Formats a table without borders for the terminal.
 *
 * @param head Column heads.
 * @param rows Cells of each row.
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const table = new Table({
    head: [...head],
    chars: NO_BORDERS,
    style: { "padding-left": 0, "padding-right": 0, head: [], border: [] },
  });
  table.push(...rows.map((row) => [...row]));
  return table.toString();
}
