import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createOrigin, createRow } from "../tests/rollout_fixture.ts";
import { toIncarnation } from "../ids/mod.ts";
import { EvidenceStore } from "./evidence_store.ts";

describe("EvidenceStore", () => {
  // Guards against counters that lost, repeated or late reports make too large or too small.
  it("sums the latest counters whatever reports are lost, repeated or late", () => {
    const report = fc.record({
      who: fc.integer({ min: 0, max: 3 }),
      count: fc.integer({ min: 1, max: 50 }),
    });
    fc.assert(fc.property(fc.array(report, { minLength: 1 }), (reports) => {
      const store = new EvidenceStore();
      const latest = new Map<number, number>();
      reports.forEach(({ count, who }) => {
        store.merge(createOrigin(`i${who}`), [createRow("in-force", count)]);
        latest.set(who, Math.max(count, latest.get(who) ?? 0));
      });
      const expected = [...latest.values()].reduce(
        (sum, each) => sum + each,
        0,
      );
      assert.equal(store.rows[0]?.responses, expected);
    }));
  });

  // Guards against evidence that a restart of its instance takes away.
  it("keeps what a former incarnation counted", () => {
    const store = new EvidenceStore();
    store.merge(createOrigin(), [createRow("in-force", 7)]);
    const restarted = { ...createOrigin(), incarnation: toIncarnation("2") };
    store.merge(restarted, [createRow("in-force", 2)]);
    assert.equal(store.rows[0]?.responses, 9);
  });

  // Guards against responses counted twice because two representatives report a region.
  it("takes the larger of two sums of a region, and nothing of summaries", () => {
    const store = new EvidenceStore();
    const south = { ...createOrigin(), region: "south" as never };
    store.merge({ ...south, scope: "region" }, [createRow("in-force", 8)]);
    store.merge({ ...south, scope: "region" }, [createRow("in-force", 5)]);
    store.merge({ ...south, scope: "summary" }, [createRow("in-force", 90)]);
    assert.equal(store.rows[0]?.responses, 8);
  });
});
