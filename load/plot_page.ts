import { readFileSync } from "node:fs";
import { createRequire } from "node:module";

/** One plot of several series over the same x values. */
export interface Plot {
  readonly title: string;
  readonly x: readonly number[];
  readonly xLabel: string;
  readonly series: readonly {
    readonly label: string;
    readonly values: readonly number[];
  }[];
}

const COLORS = [
  "#1f77b4",
  "#d62728",
  "#2ca02c",
  "#9467bd",
  "#ff7f0e",
  "#17becf",
];

/**
 * Returns a self-contained HTML page that draws plots with uPlot.
 *
 * @param title Heading of the page.
 * @param plots Plots, drawn in this order.
 * @param text Shown above the plots, as preformatted text. Default: nothing.
 */
export function createPlotPage(
  title: string,
  plots: readonly Plot[],
  text = "",
): string {
  const require = createRequire(import.meta.url);
  const script = readFileSync(
    require.resolve("uplot/dist/uPlot.iife.min.js"),
    "utf8",
  );
  const style = readFileSync(
    require.resolve("uplot/dist/uPlot.min.css"),
    "utf8",
  );
  const data = JSON.stringify(plots).replaceAll("<", "\\u003c");
  const body = `
const plots = ${data};
const colors = ${JSON.stringify(COLORS)};
plots.forEach((plot) => {
  const series = plot.series.map((each, at) => ({
    label: each.label, stroke: colors[at % colors.length], width: 2, points: { show: true },
  }));
  new uPlot({
    title: plot.title, width: 860, height: 320, scales: { x: { time: false } },
    axes: [{ label: plot.xLabel }, {}], series: [{ label: plot.xLabel }, ...series],
  }, [plot.x, ...plot.series.map((each) => each.values)], document.body);
});`;
  return `<!doctype html><html><head><meta charset="utf-8"><title>${
    escapeText(title)
  }</title>` +
    `<style>${style} body { font-family: sans-serif; margin: 2em; }</style>` +
    `<script>${script}</script></head><body><h1>${escapeText(title)}</h1>` +
    `<pre>${escapeText(text)}</pre><script>${body}</script></body></html>\n`;
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
