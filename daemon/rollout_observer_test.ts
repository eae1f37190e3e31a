// Guards against log lines without the counts that explain a decision, and against lines without a bound.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { toBackendId, toRolloutId, toServerVersion } from "../ids/mod.ts";
import { createLogger } from "../logs/mod.ts";
import type { EvidenceRow, RolloutEvent } from "../rollouts/mod.ts";
import { RolloutObserver } from "./rollout_observer.ts";

const NO_SUMS = { count: 0, sum: 0, squares: 0, slow: 0 };

function createRow(
  subject: EvidenceRow["subject"],
  responses: number,
  failures: number,
): EvidenceRow {
  const count = responses - failures;
  const sum = count * Math.log(40);
  const firstByte = { count, sum, squares: 0, slow: 0 };
  return {
    route: "chat",
    subject,
    responses,
    failures,
    firstByte,
    gap: NO_SUMS,
  };
}

function startObserver() {
  const clock = new VirtualClock();
  const lines: Readonly<Record<string, unknown>>[] = [];
  const gauges = new Map<string, number>();
  const observer = new RolloutObserver({
    readReportAgeMs: () => 120,
    logger: createLogger({
      clock,
      fields: {},
      level: "info",
      write: (line) => void lines.push(JSON.parse(line)),
    }),
    metrics: {
      count: () => {},
      gauge: (name, value, tags = {}) =>
        void gauges.set([name, ...Object.values(tags)].join(" "), value),
      time: () => {},
    },
  });
  return { gauges, lines, observer };
}

const FOUND_BAD: RolloutEvent = {
  kind: "found-bad",
  service: "app",
  id: toRolloutId("0.5"),
  reason: "failures on chat",
  evidence: [
    createRow("in-force", 400, 2),
    createRow(toBackendId("s1"), 20, 8),
    createRow(toBackendId("s2"), 10, 1),
  ],
};

describe("RolloutObserver", () => {
  it("logs the counts of both versions by route with a finding", () => {
    const { lines, observer } = startObserver();
    observer.observe(FOUND_BAD);
    assert.equal(
      `${lines[0]?.reportAgeMs} ${lines[0]?.routes}`,
      "120 chat: old 2 of 400 failed first byte 40 ms, new 9 of 30 failed first byte 40 ms",
    );
  });

  it("logs a bounded number of lines for an order", () => {
    const { lines, observer } = startObserver();
    Array.from({ length: 1_000 }, () => observer.observe(FOUND_BAD));
    assert.ok(lines.length <= 24);
  });

  it("measures the phase and the responses of both versions", () => {
    const { gauges, observer } = startObserver();
    const id = toRolloutId("0.5");
    observer.measure(
      [{
        service: "app",
        inForce: [toServerVersion("v1")],
        order: {
          id,
          destination: toServerVersion("v2"),
          durationMs: 12_000,
          startedMs: 0,
          phase: "switch",
        },
      }],
      [{
        id,
        service: "app",
        phase: "switch",
        isBad: false,
        previousCalls: 3,
        evidence: FOUND_BAD.evidence,
      }],
    );
    assert.equal(gauges.get("rollout.phase app v2"), 3);
    assert.equal(gauges.get("rollout.previous_calls app"), 3);
    assert.equal(gauges.get("rollout.responses app ordered failed"), 9);
    assert.equal(gauges.get("rollout.responses app in-force good"), 398);
  });
});
