import { assignVersion, isServerAllowed } from "./assign_version.ts";
import { isLaterRecord, rankPhase } from "./compare_records.ts";
import type { OrderRun } from "./order_run.ts";
import { planRecord } from "./plan_record.ts";
import type { RolloutTrackerParts } from "./rollout_tracker_parts.ts";
import type {
  ResponseOutcome,
  RolloutOrder,
  RolloutRecord,
  RolloutReport,
  RolloutReportOrigin,
  RolloutReportScope,
  RolloutStatus,
  SendOutcome,
  SendRecord,
  VersionAssignment,
  VersionedCall,
  VersionedSend,
  VersionedServer,
} from "./rollout_types.ts";
import { ServiceRollout } from "./service_rollout.ts";

export type { RolloutTrackerParts } from "./rollout_tracker_parts.ts";

const ANY: VersionAssignment = { kind: "any" };
const NO_SEND: SendRecord = { end: () => {} };
/** Delay of a relay's write for each relay before it, in milliseconds: usually one writes. */
export const RELAY_RANK_DELAY_MS = 150;

/** A decision that a relay waits to write. */
interface PendingWrite {
  readonly key: string;
  readonly sinceMs: number;
}

/** One instance's part in the rollouts of all services. */
export class RolloutTracker {
  readonly #parts: RolloutTrackerParts;
  readonly #createdMs: number;
  readonly #services = new Map<string, ServiceRollout>();
  readonly #pendingWrites = new Map<string, PendingWrite>();
  /** Runs whose finding was passed to `onEvent`, which is called once for each. */
  readonly #announcedRuns = new WeakSet<OrderRun>();

  /** @param parts Collaborators of the tracker. */
  constructor(parts: RolloutTrackerParts) {
    this.#parts = parts;
    this.#createdMs = parts.clock.nowMs();
  }

  /**
   * Applies an operator's order, as read from the store. An entry that cannot be parsed is
   * not applied: it has no effect on what runs.
   *
   * @param service Service of the order.
   * @param order The order; `undefined` if it was removed.
   */
  applyOrder(service: string, order: RolloutOrder | undefined): void {
    this.#ensure(service).applyOrder(order);
  }

  /** Applies a record, as read from the store or after this instance wrote it. */
  applyRecord(record: RolloutRecord): void {
    this.#ensure(record.service).applyRecord(record);
  }

  /**
   * Records that the store holds no record of a service any more. What is remembered stays
   * valid and is planned to be written again.
   */
  forgetRecord(service: string): void {
    this.#services.get(service)?.forgetRecord();
  }

  /** Replaces the registered servers of all services. */
  applyServers(servers: readonly VersionedServer[]): void {
    const nowMs = this.#parts.clock.nowMs();
    const groups = new Map<string, VersionedServer[]>();
    servers.forEach((server) => {
      const group = groups.get(server.service);
      if (group === undefined) groups.set(server.service, [server]);
      else group.push(server);
    });
    groups.forEach((group, service) =>
      this.#ensure(service).applyServers(group, nowMs)
    );
    this.#services.forEach((state, service) => {
      if (!groups.has(service)) state.applyServers([], nowMs);
    });
  }

  /**
   * Returns which servers one send of a call may use. Called again for each choice of a
   * server: an assignment made before a wait may allow no server any more.
   */
  assign(call: VersionedCall): VersionAssignment {
    const state = this.#services.get(call.service);
    return state === undefined ? ANY : assignVersion(state, call, this.#parts);
  }

  /**
   * Returns whether a send may go to a server now. It is asked again directly before
   * `beginSend`, without a wait in between: an order may have ended, or the budget may
   * be spent, since the assignment.
   */
  isAllowed(assignment: VersionAssignment, server: VersionedServer): boolean {
    const state = this.#services.get(server.service);
    return state === undefined ||
      isServerAllowed(state, assignment, server, this.#parts);
  }

  /** Counts a send when it begins; its end is recorded by the result. */
  beginSend({ route, server: id, service }: VersionedSend): SendRecord {
    const state = this.#services.get(service);
    const server = state?.versions.find(id);
    if (state === undefined || server === undefined) return NO_SEND;
    const { version } = server;
    const run = state.isRunning ? state.run : undefined;
    const isDestination = version === run?.destination;
    const isCold = server.coldUntilMs > this.#parts.clock.nowMs();
    run?.budget.count(isDestination);
    state.countInFlight(version, 1);
    let hasEnded = false;
    return {
      end: (outcome: SendOutcome) => {
        if (hasEnded) return;
        hasEnded = true;
        state.countInFlight(version, -1);
        if (outcome.kind === "not-sent") run?.budget.refund(isDestination);
        if (run === undefined || !isResponse(outcome)) return;
        const subject = isDestination ? id : "in-force";
        run.evidence.record(route, subject, outcome, isCold);
        run.requestEvaluation();
        if (isDestination) this.#evaluate(state, run);
      },
    };
  }

  /** Returns what to report in a scope; empty while no order runs. */
  createReports(scope: RolloutReportScope): readonly RolloutReport[] {
    const nowMs = this.#parts.clock.nowMs();
    return [...this.#services.values()].flatMap((state) => {
      const { run } = state;
      if (run === undefined || !this.#isReported(run, nowMs)) return [];
      this.#evaluate(state, run);
      return [this.#createReport(state, run, scope, nowMs)];
    });
  }

  /**
   * Merges what another instance reports. Called for each of its reports, also without
   * rows: a live instance that reports no order has not stopped sending to old servers.
   */
  mergeReports(
    from: RolloutReportOrigin,
    reports: readonly RolloutReport[],
  ): void {
    const nowMs = this.#parts.clock.nowMs();
    for (const state of this.#services.values()) {
      const { run } = state;
      const isReported = reports.some(({ id }) => id === run?.id);
      if (run !== undefined && state.isRunning && !isReported) {
        run.members.record(from, undefined, nowMs);
      }
    }
    reports.forEach((report) => {
      const state = this.#ensure(report.service);
      const { run } = state;
      if (run?.id === report.id) {
        run.merge(from, report, nowMs);
        state.adoptPhase(report.id, report.phase);
        this.#evaluate(state, run);
      } else if (report.isBad) {
        state.markBad(report.id, `reported by ${from.instance}`);
      }
    });
  }

  /**
   * Returns the records to write by compare-and-swap. Called periodically by relays, and
   * only while the store is followed.
   *
   * @param nowMs Current time, in milliseconds.
   * @param rank Rank of this relay: 0 writes at once, others wait for it.
   */
  planWrites(nowMs: number, rank: number): readonly RolloutRecord[] {
    return [...this.#services.values()].flatMap((state) => {
      const record = this.#planWrite(state, nowMs);
      if (record === undefined) {
        this.#pendingWrites.delete(state.service);
        return [];
      }
      const { inForce, order } = record;
      const key = [order?.id, order?.phase, ...inForce].join(" ");
      const pending = this.#pendingWrites.get(state.service);
      const sinceMs = pending?.key === key ? pending.sinceMs : nowMs;
      this.#pendingWrites.set(state.service, { key, sinceMs });
      return nowMs - sinceMs >= rank * RELAY_RANK_DELAY_MS ? [record] : [];
    });
  }

  /** Returns the statuses that operators should read, derived from the stored records. */
  listStatuses(): readonly RolloutStatus[] {
    return [...this.#services.values()].flatMap(({ service, storedRecord }) => {
      const order = storedRecord?.order;
      if (order === undefined) return [];
      const { destination, phase } = order;
      const state = phase === "completed"
        ? "completed"
        : phase === "rolled-back"
        ? "rolled_back"
        : "running";
      return [{ service, destination, state }];
    });
  }

  #planWrite(
    state: ServiceRollout,
    nowMs: number,
  ): RolloutRecord | undefined {
    const { order, record, run, service, storedRecord, versions } = state;
    if (record === undefined) {
      const { inForce } = state;
      return versions.isSettling(nowMs) || inForce.length === 0
        ? undefined
        : { service, inForce, sequence: 1 };
    }
    if (storedRecord === undefined || isLaterRecord(record, storedRecord)) {
      const sequence = 1 +
        Math.max(record.sequence ?? 0, storedRecord?.sequence ?? 0);
      return { ...record, sequence };
    }
    // Whether the order was removed is unknown until the operator's entry has been read.
    if (!state.isOrderKnown && state.isRunning) return undefined;
    if (run !== undefined && state.isRunning) this.#evaluate(state, run);
    const own = this.#readProgress(state);
    const isSettled = run?.members.isSettled(own, nowMs) ?? false;
    // The relay keeps to what it plans: the write may be executed at any time after this.
    if (run !== undefined && isSettled) run.hasLeft = true;
    return planRecord({
      record,
      order,
      servers: versions.servers,
      verdict: run?.verdict ??
        { isSuspicious: false, isCovered: false, suspects: [] },
      badReason: state.isRunning ? run?.badReason : undefined,
      isSettled,
      needsOwnServers: (region) =>
        this.#parts.needsOwnServers?.(service, region) ?? false,
      areActiveGone: versions.areGone(record.inForce, nowMs),
      bounds: this.#parts.bounds,
      nowMs,
    });
  }

  #createReport(
    state: ServiceRollout,
    run: OrderRun,
    scope: RolloutReportScope,
    nowMs: number,
  ): RolloutReport {
    const own = this.#readProgress(state);
    if (own.phase === "switch" && own.previousCalls === 0) run.hasLeft = true;
    const progress = scope === "region"
      ? run.members.combineRegion(own, nowMs)
      : own;
    const evidence = scope === "summary" || run.endedMs !== undefined
      ? []
      : scope === "region"
      ? run.evidence.regionRows
      : run.evidence.ownRows;
    return {
      id: run.id,
      service: state.service,
      ...progress,
      isBad: run.badReason !== undefined,
      ...(run.suspects.size > 0 ? { suspects: [...run.suspects] } : {}),
      evidence,
    };
  }

  /** Returns the phase that this instance follows, and its calls at replaced versions. */
  #readProgress(state: ServiceRollout) {
    const recorded = state.record?.order?.phase ?? "trial";
    const stage = state.readStage();
    // An instance that found the version bad sends to the old servers again.
    const isBehind = stage.kind === "none" &&
      rankPhase(recorded) < rankPhase("completed");
    return {
      phase: isBehind ? "trial" as const : recorded,
      previousCalls: state.previousCalls,
    };
  }

  /** Returns whether an order is reported: until others have learned of its end. */
  #isReported({ endedMs }: OrderRun, nowMs: number): boolean {
    return endedMs === undefined ||
      nowMs - endedMs < this.#parts.bounds.contactMs;
  }

  #evaluate(state: ServiceRollout, run: OrderRun): void {
    if (!state.isRunning || state.run !== run) return;
    const serverCount = state.versions.countServers(run.destination);
    run.evaluate(this.#parts.clock.nowMs(), serverCount);
    const { badReason, evidence, id } = run;
    if (badReason === undefined || this.#announcedRuns.has(run)) return;
    this.#announcedRuns.add(run);
    this.#parts.onEvent?.({
      kind: "found-bad",
      service: state.service,
      id,
      reason: badReason,
      evidence: evidence.rows,
    });
  }

  #ensure(service: string): ServiceRollout {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state = new ServiceRollout(service, this.#parts, this.#createdMs);
    this.#services.set(service, state);
    return state;
  }
}

function isResponse(outcome: SendOutcome): outcome is ResponseOutcome {
  return outcome.kind === "answered" || outcome.kind === "failed";
}
