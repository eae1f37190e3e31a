import { readFileSync, writeFileSync } from "node:fs";
import { createPlotPage, type Plot } from "../load/mod.ts";

// `npm run plots` draws the figures on which `docs/CAPACITY.md` is based.
const BENCH_RESULTS = new URL("../../docs/data/bench.jsonl", import.meta.url);
const PLOT_PAGE = new URL("../../docs/data/plots.html", import.meta.url);

type Figures = Readonly<Record<string, number>>;

const benches = new Map(
  readFileSync(BENCH_RESULTS, "utf8").split("\n").filter((line) => line !== "")
    .map(
      (line) => {
        const { bench, ...figures } = JSON.parse(line) as {
          readonly bench: string;
        } & Figures;
        return [bench, figures as Figures];
      },
    ),
);

const plots: readonly Plot[] = [
  createPlot("Bytes sent for membership, each daemon, B/s", "daemons", [
    9,
    27,
    60,
    66,
    132,
  ], {
    "mean": (size) =>
      readFigure("membership", `sent_mean_${toFleetShape(size)}`),
    "most": (size) =>
      readFigure("membership", `sent_max_${toFleetShape(size)}`),
  }),
  createPlot("Peer bytes for each change and daemon", "daemons", [9, 27, 60], {
    "bytes": (size) =>
      readFigure(
        "config",
        `calm${size === 9 ? "" : `_${size}_daemons`}_bytes_per_change`,
      ),
  }),
  createPlot(
    "Catalog: heap MB, and ms to apply a change",
    "% of the size to come",
    [
      1,
      10,
      33,
      100,
    ],
    {
      "heap MB": (share) => readFigure("control", `heapMegabytes_9_${share}`),
      "apply ms": (share) => readFigure("control", `applyMs_9_${share}`),
    },
  ),
  createPlot(
    "Journal: store writes a second",
    "runs a second",
    [60, 120, 240],
    {
      "a key for each run": (rate) =>
        readFigure("journal", `key_per_run_${rate}_9_writes`),
      "4 shards, 2 ms, keys with home": (rate) =>
        readFigure(
          "journal",
          `4_shards_2_ms_3_regions_keys_with_home_${rate}_9_writes`,
        ),
    },
  ),
  createPlot("Decision, microseconds", "engines", [8, 123, 400], {
    "us": (count) => readFigure("subset", `decision_us_${count}`),
  }),
  createPlot("Processor time of a call, microseconds", "tokens", [
    8,
    64,
    256,
    512,
  ], {
    "us": (tokens) => readFigure("overhead", `cpu_us_per_call_of_${tokens}`),
  }),
];
writeFileSync(
  PLOT_PAGE,
  createPlotPage("havenspur: slopes behind docs/CAPACITY.md", plots),
);

function createPlot(
  title: string,
  xLabel: string,
  x: readonly number[],
  series: Readonly<Record<string, (x: number) => number>>,
): Plot {
  const plotted = Object.entries(series).map(([label, toValue]) => ({
    label,
    values: x.map(toValue),
  }));
  return { title, x, xLabel, series: plotted };
}

function readFigure(bench: string, figure: string): number {
  const value = benches.get(bench)?.[figure];
  if (value === undefined) {
    throw new Error(
      `Cannot plot: bench.jsonl has no result of ${bench} with the figure ${figure}`,
    );
  }
  return value;
}

/** Returns regions x daemons per region for a fleet size of the membership benchmark. */
function toFleetShape(size: number): string {
  const shapes: Readonly<Record<number, string>> = {
    9: "3x3",
    27: "3x9",
    60: "3x20",
    66: "22x3",
    132: "22x6",
  };
  return shapes[size]!;
}
