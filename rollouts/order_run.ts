import type { Random } from "../clock/mod.ts";
import type { BackendId, RolloutId, ServerVersion } from "../ids/mod.ts";
import { analyzeCanary, type CanaryVerdict } from "./canary_analysis.ts";
import type { CanaryTest } from "./canary_statistics.ts";
import { CanaryLottery } from "./canary_lottery.ts";
import { EvidenceStore } from "./evidence_store.ts";
import { drawOffset, ExposureBudget } from "./exposure_budget.ts";
import { MemberProgress } from "./member_progress.ts";
import type {
  RolloutBounds,
  RolloutFleet,
  RolloutReport,
  RolloutReportOrigin,
} from "./rollout_types.ts";

/** Shortest time between two evaluations of the evidence, in milliseconds. */
const EVALUATION_INTERVAL_MS = 50;

/** What an order's state depends on. */
export interface OrderRunParts {
  readonly id: RolloutId;
  readonly destination: ServerVersion;
  readonly bounds: RolloutBounds;
  readonly fleet: RolloutFleet;
  readonly random: Random;
  /** Statistical test of the canary. Default: `SEQUENTIAL_TEST`. */
  readonly canaryTest: CanaryTest | undefined;
  /** Whether this instance ran before the order arrived. */
  readonly ranBefore: boolean;
  readonly nowMs: number;
}

/** This instance's state of one order: budget, evidence, findings, reports of others. */
export class OrderRun {
  readonly id: RolloutId;
  readonly destination: ServerVersion;
  readonly budget: ExposureBudget;
  readonly lottery: CanaryLottery;
  readonly evidence = new EvidenceStore();
  readonly members: MemberProgress;
  readonly #test: CanaryTest | undefined;
  /**
   * Whether this instance has reported that it has left the old servers. Another one may
   * stop them on this promise, so nothing is sent there any more.
   */
  hasLeft = false;
  /** When this instance learned that the order ended, in milliseconds. */
  endedMs: number | undefined;
  #badReason: string | undefined;
  #suspects: ReadonlySet<BackendId> = new Set();
  #verdict: CanaryVerdict = {
    isSuspicious: false,
    isCovered: false,
    suspects: [],
  };
  #isEvaluationDue = false;
  #evaluatedMs = -Infinity;

  /** @param parts What the state depends on. */
  constructor(parts: OrderRunParts) {
    const { bounds, destination, fleet, id, nowMs, random, ranBefore } = parts;
    this.id = id;
    this.destination = destination;
    this.#test = parts.canaryTest;
    const instanceCount = fleet.listMembers().length;
    this.budget = new ExposureBudget(
      bounds,
      drawOffset({ bounds, instanceCount, random, ranBefore }),
    );
    this.lottery = new CanaryLottery(id, random);
    this.members = new MemberProgress(fleet, bounds.contactMs);
    this.members.observeMembers(nowMs);
  }

  /** Why the destination is bad; never unset. Default: it is not known to be. */
  get badReason(): string | undefined {
    return this.#badReason;
  }

  /** Latest result of `evaluate`. */
  get verdict(): CanaryVerdict {
    return this.#verdict;
  }

  /** Servers that look faulty, here or to others. */
  get suspects(): ReadonlySet<BackendId> {
    return this.#suspects;
  }

  /** Marks that there is new evidence. */
  requestEvaluation(): void {
    this.#isEvaluationDue = true;
  }

  /**
   * Evaluates new evidence, at most once in an interval.
   *
   * @param nowMs Current time, in milliseconds.
   * @param serverCount Number of registered servers of the destination.
   */
  evaluate(nowMs: number, serverCount: number): void {
    if (
      !this.#isEvaluationDue ||
      nowMs - this.#evaluatedMs < EVALUATION_INTERVAL_MS
    ) return;
    this.#isEvaluationDue = false;
    this.#evaluatedMs = nowMs;
    const { rows } = this.evidence;
    const seen = new Set(rows.map(({ subject }) => subject));
    seen.delete("in-force");
    this.#verdict = analyzeCanary(
      rows,
      Math.max(serverCount, seen.size) > 1,
      this.#test,
    );
    this.#addSuspects(this.#verdict.suspects);
    if (this.#verdict.badReason !== undefined) {
      this.markBad(this.#verdict.badReason);
    }
  }

  /** Notes that the destination is bad; the first reason stays. */
  markBad(reason: string): void {
    this.#badReason ??= reason;
  }

  /** Merges a report of this order. */
  merge(from: RolloutReportOrigin, report: RolloutReport, nowMs: number): void {
    this.members.record(from, report, nowMs);
    this.evidence.merge(from, report.evidence);
    if (report.evidence.length > 0) this.requestEvaluation();
    this.#addSuspects(report.suspects ?? []);
    if (report.isBad) this.markBad(`reported by ${from.instance}`);
  }

  #addSuspects(ids: readonly BackendId[]): void {
    if (ids.every((id) => this.#suspects.has(id))) return;
    this.#suspects = new Set([...this.#suspects, ...ids]);
  }
}
