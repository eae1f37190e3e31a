import { Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  type MetricName,
  METRICS,
  type Metrics,
  type MetricTags,
} from "../metrics/mod.ts";

/** Prefix of all names. */
const PREFIX = "havenspur_";
/** Upper bounds of a histogram, in milliseconds: from a plain call to a long prompt that waited. */
const TIME_BUCKETS_MS = [
  5,
  10,
  25,
  50,
  100,
  250,
  500,
  1_000,
  2_000,
  4_000,
  8_000,
];

/** Metrics that a scraper fetches. */
export interface ScrapedMetrics extends Metrics {
  /** Returns all values in the text format of scrapers. */
  format(): Promise<string>;
}

/** Returns metrics that are kept here until a scraper fetches them. */
export function createScrapedMetrics(): ScrapedMetrics {
  const registry = new Registry();
  const counters = new Map<MetricName, Counter>();
  const gauges = new Map<MetricName, Gauge>();
  const histograms = new Map<MetricName, Histogram>();
  const toOptions = (name: MetricName) => ({
    name: PREFIX + name.replaceAll(".", "_"),
    help: METRICS[name],
    labelNames: readTagNames(METRICS[name]),
    registers: [registry],
  });
  const counterOf = (name: MetricName) =>
    getOrAdd(counters, name, () => new Counter(toOptions(name)));
  const gaugeOf = (name: MetricName) =>
    getOrAdd(gauges, name, () => new Gauge(toOptions(name)));
  const histogramOf = (name: MetricName) =>
    getOrAdd(
      histograms,
      name,
      () => new Histogram({ ...toOptions(name), buckets: TIME_BUCKETS_MS }),
    );
  return {
    count: (name, by = 1, tags: MetricTags = {}) =>
      counterOf(name).inc({ ...tags }, by),
    gauge: (name, value, tags: MetricTags = {}) =>
      gaugeOf(name).set({ ...tags }, value),
    time: (name, valueMs, tags: MetricTags = {}) =>
      histogramOf(name).observe({ ...tags }, valueMs),
    format: () => registry.metrics(),
  };
}

function getOrAdd<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const value = create();
  map.set(key, value);
  return value;
}

/** Reads the names behind `tags:` in the description of a metric. */
function readTagNames(description: string): string[] {
  const [, tags] = /tags: ([^;]*)/.exec(description) ?? [];
  return (tags ?? "").replace(/\(.*\)/, "").split(",")
    .map((tag) => tag.trim()).filter((tag) => tag !== "");
}
