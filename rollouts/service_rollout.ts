import type { RegionId, RolloutId, ServerVersion } from "../ids/mod.ts";
import { pickCanaryServers, type RegionCanary } from "./canary_servers.ts";
import {
  isFinal,
  isLaterRecord,
  isSameOrder,
  rankPhase,
} from "./compare_records.ts";
import { TRIAL_PART } from "./exposure_budget.ts";
import { FIRST_VERSIONS_MS, KnownVersions } from "./known_versions.ts";
import { OrderRun } from "./order_run.ts";
import { advanceRecord } from "./plan_record.ts";
import type { RolloutTrackerParts } from "./rollout_tracker_parts.ts";
import type {
  RolloutOrder,
  RolloutPhase,
  RolloutProgress,
  RolloutRecord,
  VersionedServer,
} from "./rollout_types.ts";

/** Where a service stands: no order in effect, or the phase of one with its run. */
export type Stage =
  | { readonly kind: "none" }
  | {
    readonly kind: "trial" | "ramp" | "switch";
    readonly run: OrderRun;
    readonly progress: RolloutProgress;
  };

const NO_STAGE: Stage = { kind: "none" };
/** Bad orders of which no record is known yet; more are not remembered. */
const MAX_PENDING = 16;

/** State of one service: its record, the operator's order, its servers, the running order. */
export class ServiceRollout {
  readonly versions = new KnownVersions();
  readonly service: string;
  readonly #parts: RolloutTrackerParts;
  readonly #createdMs: number;
  /** Calls in flight by the version of their server. */
  readonly #inFlight = new Map<ServerVersion, number>();
  /** Orders that others found bad before this instance knew them. */
  readonly #pendingBad = new Map<RolloutId, string>();
  #canaries = new Map<RegionId, RegionCanary>();
  #canarySuspects = 0;
  #order: RolloutOrder | undefined;
  #isOrderKnown = false;
  #record: RolloutRecord | undefined;
  #storedRecord: RolloutRecord | undefined;
  #run: OrderRun | undefined;

  /**
   * @param service Name of the service.
   * @param parts Collaborators of the tracker.
   * @param createdMs When the tracker was created, in milliseconds.
   */
  constructor(
    service: string,
    parts: RolloutTrackerParts,
    createdMs: number,
  ) {
    this.service = service;
    this.#parts = parts;
    this.#createdMs = createdMs;
  }

  /** The operator's order. */
  get order(): RolloutOrder | undefined {
    return this.#order;
  }

  /** Whether the operator's entry has been read, be it absent. */
  get isOrderKnown(): boolean {
    return this.#isOrderKnown;
  }

  /** The record that is valid: the stored one, or a later one that the store lost. */
  get record(): RolloutRecord | undefined {
    return this.#record;
  }

  /** The record as the store holds it. */
  get storedRecord(): RolloutRecord | undefined {
    return this.#storedRecord;
  }

  /** The latest order's state; kept after its end. */
  get run(): OrderRun | undefined {
    return this.#run;
  }

  /** Versions whose servers get calls without an order. */
  get inForce(): readonly ServerVersion[] {
    if (this.#record !== undefined) return this.#record.inForce;
    return this.versions.listFirst(this.#order?.destination);
  }

  /** Versions that the running order replaces; those in force if none runs. */
  get previousVersions(): readonly ServerVersion[] {
    const { inForce } = this;
    const destination = this.#record?.order?.destination;
    if (!this.isRunning) return inForce;
    const others = inForce.filter((version) => version !== destination);
    return others.length > 0 ? others : inForce;
  }

  /** Whether the recorded order has not ended. */
  get isRunning(): boolean {
    const phase = this.#record?.order?.phase;
    return phase !== undefined && !isFinal(phase);
  }

  /** Calls in flight at servers of versions that the order replaces. */
  get previousCalls(): number {
    const destination = this.#record?.order?.destination;
    return [...this.#inFlight].reduce(
      (sum, [version, count]) => version === destination ? sum : sum + count,
      0,
    );
  }

  /** Applies the operator's order. */
  applyOrder(order: RolloutOrder | undefined): void {
    const isNew = order !== undefined && order.id !== this.#order?.id;
    this.#order = order;
    this.#isOrderKnown = true;
    if (isNew) this.#parts.onEvent?.({ kind: "ordered", order });
  }

  /** Applies a record of the store. */
  applyRecord(record: RolloutRecord): void {
    this.#storedRecord = record;
    if (this.#record === undefined || isLaterRecord(record, this.#record)) {
      this.#setRecord(record);
    }
  }

  /** Notes that the store holds no record. */
  forgetRecord(): void {
    this.#storedRecord = undefined;
  }

  /** Replaces the registered servers. */
  applyServers(servers: readonly VersionedServer[], nowMs: number): void {
    this.versions.replace(servers, nowMs);
    this.#canaries.clear();
  }

  /**
   * Follows a phase that another instance has read from the store. Phases only move
   * forward, so what it read holds here, too.
   */
  adoptPhase(id: RolloutId, phase: RolloutPhase): void {
    const progress = this.#record?.order;
    if (progress?.id !== id || isFinal(progress.phase)) return;
    if (rankPhase(phase) <= rankPhase(progress.phase)) return;
    const phaseSinceMs = this.#parts.clock.nowMs();
    this.#setRecord({
      ...advanceRecord(this.#record!, progress, phase, phaseSinceMs),
      sequence: this.#record!.sequence ?? 0,
    });
  }

  /** Notes that others found an order bad. */
  markBad(id: RolloutId, reason: string): void {
    if (this.#run?.id === id) this.#run.markBad(reason);
    else if (this.#pendingBad.size < MAX_PENDING) {
      this.#pendingBad.set(id, reason);
    }
  }

  /** Returns the phase in effect here: none once the order is withdrawn or its version bad. */
  readStage(): Stage {
    const run = this.#run;
    const progress = this.#record?.order;
    if (run === undefined || progress === undefined || !this.isRunning) {
      return NO_STAGE;
    }
    const { phase } = progress;
    if (phase === "completed" || phase === "rolled-back") return NO_STAGE;
    if (run.badReason !== undefined) return NO_STAGE;
    const isOrdered = this.#order !== undefined &&
      isSameOrder(this.#order, progress);
    // A restarted instance may read the record of a switch before the operator's entry.
    const isUnread = !this.#isOrderKnown && phase === "switch";
    return isOrdered || isUnread ? { kind: phase, run, progress } : NO_STAGE;
  }

  /** Returns the canary of a region. */
  getCanary(run: OrderRun, region: RegionId): RegionCanary {
    if (run.suspects.size !== this.#canarySuspects) {
      this.#canarySuspects = run.suspects.size;
      this.#canaries.clear();
    }
    const known = this.#canaries.get(region);
    if (known !== undefined) return known;
    const canary = pickCanaryServers(
      run.id,
      this.versions.listReady(run.destination, region),
      TRIAL_PART * this.#parts.bounds.exposureShare,
      run.suspects,
    );
    this.#canaries.set(region, canary);
    return canary;
  }

  /** Counts a call in flight at a server of a version, or its end. */
  countInFlight(version: ServerVersion, change: 1 | -1): void {
    const count = (this.#inFlight.get(version) ?? 0) + change;
    if (count > 0) this.#inFlight.set(version, count);
    else this.#inFlight.delete(version);
  }

  #setRecord(record: RolloutRecord): void {
    const former = this.#record?.order;
    this.#record = record;
    const progress = record.order;
    if (progress === undefined) return;
    const nowMs = this.#parts.clock.nowMs();
    if (this.#run?.id !== progress.id && !isFinal(progress.phase)) {
      this.#beginRun(progress, nowMs);
    }
    if (isFinal(progress.phase) && this.#run?.id === progress.id) {
      this.#run.endedMs ??= nowMs;
    }
    if (former?.id === progress.id && former.phase === progress.phase) return;
    const { id, phase, reason } = progress;
    this.#parts.onEvent?.({
      kind: "phase",
      service: this.service,
      id,
      phase,
      ...(reason === undefined ? {} : { reason }),
      evidence: this.#run?.id === id ? this.#run.evidence.rows : [],
    });
  }

  #beginRun(
    { destination, id, phase, startedMs }: RolloutProgress,
    nowMs: number,
  ): void {
    const { bounds, canaryTest, fleet, random } = this.#parts;
    this.#canaries.clear();
    this.#canarySuspects = 0;
    const runsSinceMs = this.#createdMs + FIRST_VERSIONS_MS;
    this.#run = new OrderRun({
      id,
      destination,
      bounds,
      fleet,
      random,
      canaryTest,
      ranBefore: runsSinceMs <= Math.min(nowMs, startedMs),
      nowMs,
    });
    // After a start in the switch, there is nothing left to end at old servers.
    this.#run.hasLeft = phase === "switch";
    const reason = this.#pendingBad.get(id);
    if (reason !== undefined) this.#run.markBad(reason);
    this.#pendingBad.delete(id);
  }
}
