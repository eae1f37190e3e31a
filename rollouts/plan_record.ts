import type { CanaryVerdict } from "./canary_analysis.ts";
import { isFinal, isLaterOrder, isSameOrder } from "./compare_records.ts";
import { TRIAL_PART } from "./exposure_budget.ts";
import type {
  RolloutBounds,
  RolloutOrder,
  RolloutPhase,
  RolloutProgress,
  RolloutRecord,
  VersionedServer,
} from "./rollout_types.ts";

/** Shares of the calls that the destination gets in the two stages of the ramp. */
export const RAMP_SHARES: readonly [number, number] = [0.25, 0.5];
/** Longest time of a stage of the ramp, in milliseconds. */
const MAX_STAGE_MS = 700;
const MIN_STAGE_MS = 100;
/** Part of the remaining exposure that the ramp uses; phases reach instances late. */
const RAMP_PART = 0.9;
/** Time that ramp and switch need before the deadline, in milliseconds. */
const AFTER_TRIAL_MS = 6_000;
/** Part of a region's servers of the destination that must be warm. */
const WARM_PART = 0.75;
/** Warm servers of the destination that are needed for each old server. */
const MIN_REPLACEMENT = 0.5;
/** Rejected versions that are remembered; an operator names a version once. */
const MAX_REJECTED = 16;

/** All that a decision on a service depends on. */
export interface PlanInput {
  readonly record: RolloutRecord;
  /** The operator's order; `undefined` if there is none. */
  readonly order: RolloutOrder | undefined;
  /** Registered servers of the service. */
  readonly servers: readonly VersionedServer[];
  readonly verdict: CanaryVerdict;
  /** Why the destination is bad, found here or reported. Default: it is not. */
  readonly badReason: string | undefined;
  /** Whether no reachable instance uses servers of replaced versions. */
  readonly isSettled: boolean;
  /** Whether calls of a region can be served there only. */
  readonly needsOwnServers: (region: string) => boolean;
  /** Whether no server of an active version has been registered for a while. */
  readonly areActiveGone: boolean;
  readonly bounds: RolloutBounds;
  readonly nowMs: number;
}

/** Returns the next record of a service, or `undefined` if nothing is to be decided. */
export function planRecord(input: PlanInput): RolloutRecord | undefined {
  const { order, record } = input;
  const progress = record.order;
  const isRunning = progress !== undefined && !isFinal(progress.phase);
  if (
    order !== undefined && (progress === undefined ||
      (!isSameOrder(order, progress) && isLaterOrder(order.id, progress.id)))
  ) {
    return beginOrder(input, order);
  }
  if (isRunning) {
    // An older entry of the operator is a late read: what runs waits for the present one.
    if (order !== undefined && !isSameOrder(order, progress)) return undefined;
    return order === undefined
      ? advanceRecord(record, progress, "rolled-back", input.nowMs, "withdrawn")
      : planPhase(input, progress);
  }
  return input.areActiveGone ? adoptVersions(input) : undefined;
}

/** Returns how long a stage of the ramp lasts, so that the whole order keeps to its exposure. */
export function computeRampStageMs(
  bounds: RolloutBounds,
  progress: RolloutProgress,
): number {
  const stageMs = RAMP_PART * computeRampExposureMs(bounds, progress) /
    (RAMP_SHARES[0] + RAMP_SHARES[1]);
  return Math.max(MIN_STAGE_MS, Math.min(MAX_STAGE_MS, stageMs));
}

/**
 * Returns the share of the calls that the destination gets in the ramp. It is 0 once the
 * order's exposure is used: a store that is down cannot record the end of the ramp.
 */
export function computeRampShare(
  bounds: RolloutBounds,
  progress: RolloutProgress,
  nowMs: number,
): number {
  const [first, second] = RAMP_SHARES;
  const stageMs = computeRampStageMs(bounds, progress);
  const sinceMs = nowMs - (progress.phaseSinceMs ?? progress.startedMs);
  if (sinceMs < stageMs) return first;
  const remainingMs = computeRampExposureMs(bounds, progress) - first * stageMs;
  return sinceMs < stageMs + Math.max(stageMs, remainingMs / second)
    ? second
    : 0;
}

/** Returns the exposure that the trial left, as the time for which all calls would use it. */
function computeRampExposureMs(
  { exposureShare }: RolloutBounds,
  { durationMs, phaseSinceMs, startedMs }: RolloutProgress,
): number {
  const trialMs = Math.max(0, (phaseSinceMs ?? startedMs) - startedMs);
  return exposureShare *
    (durationMs - TRIAL_PART * Math.min(trialMs, durationMs));
}

function beginOrder(
  { nowMs, record }: PlanInput,
  { destination, durationMs, id }: RolloutOrder,
): RolloutRecord {
  const { inForce, order: former } = record;
  const isAlone = inForce.every((version) => version === destination) &&
    inForce.length > 0;
  const replaced = former !== undefined && !isFinal(former.phase)
    ? [former.destination]
    : [];
  return next(record, {
    rejected: [...record.rejected ?? [], ...replaced].filter((version) =>
      version !== destination && !inForce.includes(version)
    ),
    order: {
      id,
      destination,
      durationMs,
      startedMs: nowMs,
      phaseSinceMs: nowMs,
      phase: isAlone ? "completed" : "trial",
    },
  });
}

function planPhase(
  input: PlanInput,
  progress: RolloutProgress,
): RolloutRecord | undefined {
  const { badReason, bounds, nowMs, record, verdict } = input;
  const { durationMs, phase, startedMs } = progress;
  if (badReason !== undefined) {
    return advanceRecord(
      record,
      progress,
      "rolled-back",
      input.nowMs,
      badReason,
    );
  }
  const elapsedMs = nowMs - startedMs;
  const phaseMs = nowMs - (progress.phaseSinceMs ?? startedMs);
  const isOver = elapsedMs >= durationMs;
  switch (phase) {
    case "trial": {
      const earliestMs = Math.max(durationMs / 2, durationMs - AFTER_TRIAL_MS);
      const obstacle = findObstacle(input, progress);
      if (elapsedMs >= earliestMs && !isOver && obstacle === undefined) {
        return advanceRecord(record, progress, "ramp", input.nowMs);
      }
      return isOver
        ? advanceRecord(
          record,
          progress,
          "rolled-back",
          input.nowMs,
          obstacle ?? "time-limit",
        )
        : undefined;
    }
    case "ramp":
      return phaseMs >= 2 * computeRampStageMs(bounds, progress)
        ? advanceRecord(record, progress, "switch", input.nowMs)
        : undefined;
    case "switch":
      // A suspicion delays the end, but the old servers are not kept past the deadline for it.
      return input.isSettled && (isOver || !verdict.isSuspicious)
        ? advanceRecord(record, progress, "completed", input.nowMs)
        : undefined;
    default:
      return undefined;
  }
}

/** Returns why a version may not leave the canary yet; it is the reason at the deadline. */
function findObstacle(
  { needsOwnServers, nowMs, record, servers, verdict }: PlanInput,
  { destination }: RolloutProgress,
): string | undefined {
  const own = servers.filter(({ version }) => version === destination);
  if (own.length === 0) return "no-servers";
  const old = servers.filter(({ isReady, version }) =>
    isReady && version !== destination && record.inForce.includes(version)
  );
  const regions = new Set([...own, ...old].map(({ region }) => region));
  const isWarm = ({ coldUntilMs, isReady }: VersionedServer) =>
    isReady && coldUntilMs <= nowMs;
  for (const region of regions) {
    const local = own.filter((server) => server.region === region);
    if (local.length === 0 && needsOwnServers(region)) {
      return "no-servers-in-region";
    }
    const ready = local.filter(({ isReady }) => isReady);
    if (ready.filter(isWarm).length < WARM_PART * ready.length) {
      return "cold-servers";
    }
  }
  if (own.filter(isWarm).length < Math.max(1, MIN_REPLACEMENT * old.length)) {
    return "too-few-servers";
  }
  return verdict.isCovered && !verdict.isSuspicious ? undefined : "time-limit";
}

/** Takes over the registered versions: the operator replaced the servers without an order. */
function adoptVersions(
  { record, servers }: PlanInput,
): RolloutRecord | undefined {
  const versions = [...new Set(servers.map(({ version }) => version))]
    .filter((version) => !record.rejected?.includes(version)).sort();
  return versions.length > 0 ? next(record, { inForce: versions }) : undefined;
}

/** Returns the record of an order in its next phase. */
export function advanceRecord(
  record: RolloutRecord,
  progress: RolloutProgress,
  phase: RolloutPhase,
  nowMs: number,
  reason?: string,
): RolloutRecord {
  const { destination } = progress;
  const order = {
    ...progress,
    phase,
    phaseSinceMs: nowMs,
    ...(reason === undefined ? {} : { reason }),
  };
  if (phase === "completed") {
    return next(record, { order, inForce: [destination] });
  }
  if (phase !== "rolled-back") return next(record, { order });
  const others = record.inForce.filter((version) => version !== destination);
  // A version in force that alone serves the calls cannot be rejected.
  if (others.length === 0) return next(record, { order });
  // The destination may have been in force beside others.
  return next(record, {
    order,
    inForce: others,
    rejected: [...record.rejected ?? [], destination],
  });
}

function next(
  record: RolloutRecord,
  changes: Partial<RolloutRecord>,
): RolloutRecord {
  const merged = { ...record, ...changes };
  const rejected = [...new Set(merged.rejected ?? [])].slice(-MAX_REJECTED);
  return { ...merged, rejected, sequence: (record.sequence ?? 0) + 1 };
}
