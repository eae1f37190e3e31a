// Guards against evidence that is changed or lost on its way, and against reports that earlier versions can't read.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId, toRolloutId } from "../ids/mod.ts";
import type { EvidenceRow, RolloutReport } from "../rollouts/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { createReport } from "../tests/report_fixture.ts";
import { compressReport, decodeReport, encodeReport } from "./encode_report.ts";

const NO_SUMS = { count: 0, sum: 0, squares: 0, slow: 0 };
/** Largest payload of a datagram, in bytes. */
const MAX_DATAGRAM_BYTES = 65_507;

function createRow(
  route: string,
  subject: EvidenceRow["subject"],
  changes: Partial<EvidenceRow> = {},
): EvidenceRow {
  return {
    route,
    subject,
    responses: 120,
    failures: 3,
    firstByte: { count: 117, sum: 412.125, squares: 1_500.25, slow: 2 },
    gap: NO_SUMS,
    ...changes,
  };
}

function createRollout(changes: Partial<RolloutReport> = {}): RolloutReport {
  return {
    id: toRolloutId("1.812"),
    service: "chat",
    phase: "ramp",
    isBad: false,
    previousCalls: 7,
    evidence: [
      createRow("long", "in-force", {
        gap: { count: 9, sum: 30.5, squares: 104, slow: 0 },
      }),
      createRow("long", toBackendId("s1@abc"), { firstByte: NO_SUMS }),
      createRow("short", toBackendId("s1@abc")),
    ],
    ...changes,
  };
}

function createFleetReport(rollouts?: readonly RolloutReport[]) {
  return createReport(
    createMember("north-1"),
    4,
    rollouts === undefined ? {} : { rollouts },
  );
}

function readParams(datagram: Buffer): readonly unknown[] {
  return JSON.parse(datagram.toString()).params;
}

describe("rollouts in reports", () => {
  it("are decoded as they were encoded", () => {
    const rollouts = [
      createRollout(),
      createRollout({
        isBad: true,
        phase: "rolled-back",
        evidence: [],
        suspects: [toBackendId("s1@abc")],
      }),
    ];
    const report = createFleetReport(rollouts);
    [encodeReport, compressReport].forEach((encode) => {
      const header = encode === encodeReport
        ? Buffer.alloc(0)
        : Buffer.from([1, 0, 0, 0, 0]);
      const decoded = decodeReport(Buffer.concat([header, encode(report)]));
      assert.deepEqual(decoded?.rollouts, rollouts);
    });
  });

  it("come after all parameters that earlier versions read, and are absent without an order", () => {
    const without = readParams(encodeReport(createFleetReport()));
    const empty = readParams(encodeReport(createFleetReport([])));
    const params = readParams(
      encodeReport(createFleetReport([createRollout()])),
    );
    assert.deepEqual(empty, without);
    assert.deepEqual(params.slice(0, without.length), without);
    // Crashes, usage, limits and the store's era stand between them, as these versions expect.
    assert.deepEqual(params.slice(without.length, -1), [[], [], [], 0]);
  });

  it("are refused as a whole if a field is of the wrong kind", () => {
    const text = encodeReport(createFleetReport([createRollout()])).toString();
    [
      text.replace('"chat",1', '"chat",9'),
      text.replace('"1.812"', "1.812"),
      text.replace("412.125", '"412.125"'),
    ].forEach((changed) => {
      assert.notEqual(changed, text);
      assert.equal(decodeReport(Buffer.from(changed)), undefined);
    });
  });

  it("fit into a datagram with 16 routes and 8 canary servers", () => {
    const subjects = [
      "in-force",
      ...Array.from({ length: 8 }, (_, at) => `engine-7f3a9c21${at}@mc41xk0a`),
    ];
    const evidence = Array.from(
      { length: 16 },
      (_, route) =>
        subjects.map((subject) =>
          createRow(`route-${route}`, subject as EvidenceRow["subject"], {
            gap: { count: 117, sum: 512.125, squares: 2_500.25, slow: 2 },
          })
        ),
    ).flat();
    const report = createFleetReport([createRollout({ evidence })]);
    assert.ok(encodeReport(report).length < MAX_DATAGRAM_BYTES / 4);
    assert.ok(compressReport(report).length < MAX_DATAGRAM_BYTES / 16);
  });
});
