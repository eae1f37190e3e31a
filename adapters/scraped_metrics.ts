import { Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  type MetricName,
  METRICS,
  type Metrics,
  type MetricTags,
} from "../metrics/mod.ts";

/** Prefix of all metric names. */
const PREFIX = "havenspur_";
/**
 * Upper bounds of histogram buckets, in milliseconds. They range from a call of a plain
 * service to a call with a long prompt that waited for capacity.
 */
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

/** Metrics that a Prometheus scraper fetches. */
export interface ScrapedMetrics extends Metrics {
  /** Returns all values in the Prometheus text format. */
  format(): Promise<string>;
}

/** Returns metrics that are kept in memory until a scraper fetches them. */
export function createScrapedMetrics(): ScrapedMetrics {
  const registry = new Registry();
  const counters = new Map<MetricName, Counter>();
  const gauges = new Map<MetricName, Gauge>();
  // Most gauges are set several times a second to the value that they have.
  const gaugeValues = new Map<MetricName, number>();
  const histograms = new Map<MetricName, Histogram>();
  const createOptions = (name: MetricName) => ({
    name: PREFIX + name.replaceAll(".", "_"),
    help: METRICS[name],
    labelNames: readTagNames(METRICS[name]),
    registers: [registry],
  });
  const getCounter = (name: MetricName) =>
    getOrAdd(counters, name, () => new Counter(createOptions(name)));
  const getGauge = (name: MetricName) =>
    getOrAdd(gauges, name, () => new Gauge(createOptions(name)));
  const getHistogram = (name: MetricName) =>
    getOrAdd(
      histograms,
      name,
      () => new Histogram({ ...createOptions(name), buckets: TIME_BUCKETS_MS }),
    );
  return {
    count: (name, by = 1, tags: MetricTags = {}) =>
      getCounter(name).inc({ ...tags }, by),
    gauge: (name, value, tags) => {
      if (tags !== undefined) return getGauge(name).set({ ...tags }, value);
      if (gaugeValues.get(name) === value) return;
      gaugeValues.set(name, value);
      getGauge(name).set(value);
    },
    time: (name, valueMs, tags: MetricTags = {}) =>
      getHistogram(name).observe({ ...tags }, valueMs),
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

/** Returns the tag names that follow `tags:` in the description of a metric. */
function readTagNames(description: string): string[] {
  const [, tags] = /tags: ([^;]*)/.exec(description) ?? [];
  return (tags ?? "").replaceAll(/\([^)]*\)/g, "").split(",")
    .map((tag) => tag.trim()).filter((tag) => tag !== "");
}
