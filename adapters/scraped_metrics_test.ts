import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createScrapedMetrics } from "./scraped_metrics.ts";

describe("createScrapedMetrics()", () => {
  it("formats counters, gauges and histograms in the Prometheus text format", async () => {
    const metrics = createScrapedMetrics();
    metrics.count("call.count", 2, { service: "app", result: "answered" });
    metrics.gauge("call.in_flight", 3);
    metrics.time("call.first_byte_ms", 40, { service: "app" });
    const text = await metrics.format();
    assert.match(
      text,
      /havenspur_call_count\{service="app",result="answered"\} 2/,
    );
    assert.match(text, /havenspur_call_in_flight 3/);
    assert.match(
      text,
      /havenspur_call_first_byte_ms_bucket\{le="50",service="app"\} 1/,
    );
  });
});
