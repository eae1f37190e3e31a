import { toBackendId, toRolloutId } from "../ids/mod.ts";
import type {
  EvidenceRow,
  LogSums,
  RolloutPhase,
  RolloutReport,
} from "../rollouts/mod.ts";
import { toNumber, toText } from "./read_wire.ts";

/** Phases by their code in reports. */
const PHASES: readonly RolloutPhase[] = [
  "trial",
  "ramp",
  "switch",
  "completed",
  "rolled-back",
];
/**
 * Precision of sums of logarithms. Rounding changes the mean of 30 durations, as summed up
 * over 80 instances, by at most 0.2%.
 */
const SUM_SCALE = 1_000;

/** Sums as numbers, without zeros at the end: most routes have no streams. */
type SumsRow = readonly number[];

type EvidenceWire = readonly [
  subject: string,
  responses: number,
  failures: number,
  firstByte: SumsRow,
  gap?: SumsRow,
];

/** Rows of a route, whose name is sent once. */
type RouteWire = readonly [route: string, ...rows: readonly EvidenceWire[]];

export type RolloutWire = readonly [
  id: string,
  service: string,
  phase: number,
  isBad: number,
  previousCalls: number,
  evidence: readonly RouteWire[],
  ...suspects: readonly string[],
];

/** Returns what is reported of an order as a row of a report. */
export function encodeRolloutRow(report: RolloutReport): RolloutWire {
  const routes = new Map<string, EvidenceWire[]>();
  report.evidence.forEach((row) => {
    const rows = routes.get(row.route) ?? [];
    routes.set(row.route, rows);
    rows.push(encodeEvidence(row));
  });
  return [
    report.id,
    report.service,
    PHASES.indexOf(report.phase),
    report.isBad ? 1 : 0,
    report.previousCalls,
    [...routes].map(([route, rows]) => [route, ...rows]),
    ...report.suspects ?? [],
  ];
}

/** Returns the report of an order that a row contains; throws a `TypeError` if it contains none. */
export function decodeRolloutRow(row: RolloutWire): RolloutReport {
  const [id, service, phaseCode, isBad, previousCalls, routes, ...suspects] =
    row;
  const phase = PHASES[phaseCode];
  if (phase === undefined) {
    throw new TypeError(`Wanted a phase in a report, got ${phaseCode}`);
  }
  return {
    id: toRolloutId(toText(id)),
    service: toText(service),
    phase,
    isBad: isBad === 1,
    previousCalls: toNumber(previousCalls),
    evidence: routes.flatMap(([route, ...rows]) =>
      rows.map((wire) => decodeEvidence(toText(route), wire))
    ),
    ...(suspects.length > 0
      ? { suspects: suspects.map((each) => toBackendId(toText(each))) }
      : {}),
  };
}

function encodeEvidence(
  { failures, firstByte, gap, responses, subject }: EvidenceRow,
): EvidenceWire {
  const row = [
    subject === "in-force" ? "" : subject,
    responses,
    failures,
    encodeSums(firstByte),
  ] as const;
  return gap.count === 0 ? row : [...row, encodeSums(gap)];
}

function decodeEvidence(
  route: string,
  [subject, responses, failures, firstByte, gap = []]: EvidenceWire,
): EvidenceRow {
  return {
    route,
    subject: subject === "" ? "in-force" : toBackendId(toText(subject)),
    responses: toNumber(responses),
    failures: toNumber(failures),
    firstByte: decodeSums(firstByte),
    gap: decodeSums(gap),
  };
}

function encodeSums({ count, slow, squares, sum }: LogSums): SumsRow {
  if (count === 0) return [];
  const numbers = [count, roundSum(sum), roundSum(squares)];
  return slow === 0 ? numbers : [...numbers, slow];
}

function decodeSums(
  [count = 0, sum = 0, squares = 0, slow = 0]: SumsRow,
): LogSums {
  return {
    count: toNumber(count),
    sum: toNumber(sum),
    squares: toNumber(squares),
    slow: toNumber(slow),
  };
}

function roundSum(sum: number): number {
  return Math.round(SUM_SCALE * sum) / SUM_SCALE;
}
