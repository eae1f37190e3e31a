import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { createRow } from "../tests/rollout_fixture.ts";
import { analyzeCanary } from "./canary_analysis.ts";
import { REPEATED_TEST, SEQUENTIAL_TEST } from "./canary_statistics.ts";

const [A, B, C] = ["a", "b", "c"].map(toBackendId) as [
  ReturnType<typeof toBackendId>,
  ReturnType<typeof toBackendId>,
  ReturnType<typeof toBackendId>,
];
const BASELINE = createRow("in-force", 400, 4);

describe("analyzeCanary()", () => {
  for (const test of [SEQUENTIAL_TEST, REPEATED_TEST]) {
    describe(`with the ${test.name} test`, () => {
      // Guards against bad versions that pass, and good ones that do not.
      it("finds failures, slowness and nothing", () => {
        const analyze = (failures: number, factor: number) =>
          analyzeCanary(
            [
              BASELINE,
              ...[A, B, C].map((server) =>
                createRow(server, 30, failures, factor)
              ),
            ],
            true,
            test,
          );
        assert.match(analyze(9, 1).badReason ?? "", /^failures/);
        assert.match(analyze(0, 3).badReason ?? "", /^firstByte mean/);
        assert.equal(analyze(0, 1.2).badReason, undefined);
        assert.ok(analyze(0, 1.2).isCovered);
        assert.ok(!analyze(0, 1.2).isSuspicious);
      });
    });
  }

  // Guards against a good version that is rolled back for one faulty server.
  it("does not take one faulty server for a bad version, but avoids it", () => {
    const verdict = analyzeCanary(
      [
        BASELINE,
        createRow(A, 30, 20),
        createRow(B, 30),
        createRow(C, 30),
      ],
      true,
    );
    assert.equal(verdict.badReason, undefined);
    assert.deepEqual(verdict.suspects, [A]);
  });

  // Guards against a version of a single server that can never be found bad.
  it("judges a version by its only server", () => {
    const rows = [BASELINE, createRow(A, 30, 20)];
    assert.match(analyzeCanary(rows, false).badReason ?? "", /failures/);
    assert.equal(analyzeCanary(rows, true).badReason, undefined);
  });

  // Guards against absolute thresholds: both versions suffer from the same fault.
  it("finds nothing if the versions in force fail as often", () => {
    const rows = [A, B, C].map((server) => createRow(server, 30, 9));
    const verdict = analyzeCanary(
      [createRow("in-force", 400, 120), ...rows],
      true,
    );
    assert.equal(verdict.badReason, undefined);
  });

  // Guards against a fault of the rarest route that the others hide.
  it("finds a fault of one route, and is not covered without that route", () => {
    const rows = [
      BASELINE,
      createRow("in-force", 40, 0, 1, "rare"),
      ...[A, B, C].map((server) => createRow(server, 60)),
    ];
    assert.ok(!analyzeCanary(rows, true).isCovered);
    const failing = [A, B, C].map((server) =>
      createRow(server, 8, 6, 1, "rare")
    );
    const verdict = analyzeCanary([...rows, ...failing], true);
    assert.equal(verdict.badReason, "failures on rare");
    assert.ok(verdict.isSuspicious);
  });
});
