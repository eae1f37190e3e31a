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

  // A value that is not set again must not hide later ones.
  it("shows the last value of a gauge that is set often", async () => {
    const metrics = createScrapedMetrics();
    [3, 3, 0, 0, 3, 5, 5].forEach((value) =>
      metrics.gauge("call.in_flight", value)
    );
    assert.match(await metrics.format(), /havenspur_call_in_flight 5\n/);
    metrics.gauge("call.in_flight", 0);
    assert.match(await metrics.format(), /havenspur_call_in_flight 0\n/);
  });

  // Counting a metric with a tag that it does not have throws where the answer is passed on.
  it("takes every tag of a metric whose tags have lists of values", async () => {
    const metrics = createScrapedMetrics();
    const tags = { service: "app", framing: "length", how: "whole" };
    metrics.count("call.answer_ends", 1, tags);
    assert.match(
      await metrics.format(),
      /havenspur_call_answer_ends\{service="app",framing="length",how="whole"\} 1/,
    );
  });
});
