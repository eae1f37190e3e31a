import type { ServerVersion } from "../ids/mod.ts";
import { TRIAL_PART } from "./exposure_budget.ts";
import { computeRampShare } from "./plan_record.ts";
import type { RolloutTrackerParts } from "./rollout_tracker_parts.ts";
import type {
  VersionAssignment,
  VersionedCall,
  VersionedServer,
} from "./rollout_types.ts";
import type { ServiceRollout, Stage } from "./service_rollout.ts";

const NONE: VersionAssignment = { kind: "none" };
/** Route of calls that name none. */
const UNNAMED_ROUTE = "";

type RunningStage = Exclude<Stage, { kind: "none" }>;

/** Returns which servers one send of a call may use. */
export function assignVersion(
  state: ServiceRollout,
  call: VersionedCall,
  parts: RolloutTrackerParts,
): VersionAssignment {
  const stage = state.readStage();
  if (call.mustUse !== undefined) {
    return assignFixed(state, stage, call, call.mustUse);
  }
  if (stage.kind === "none") return toInForce(state.previousVersions);
  const nowMs = parts.clock.nowMs();
  const { destination } = stage.run;
  if (stage.kind === "switch") return { kind: "destination", destination };
  const previous = toInForce(state.previousVersions);
  if (!call.isFirstSend || !parts.fleet.isInTouch(nowMs)) return previous;
  return stage.kind === "trial"
    ? assignTrial(state, stage, call, parts, nowMs) ?? previous
    : assignRamp(state, stage, call, parts, nowMs) ?? previous;
}

/**
 * Returns whether a send may begin now at a server. The assignment may be older than the
 * latest decision.
 */
export function isServerAllowed(
  state: ServiceRollout,
  assignment: VersionAssignment,
  server: VersionedServer,
  parts: RolloutTrackerParts,
): boolean {
  const stage = state.readStage();
  const { version } = server;
  const isDestination = stage.kind !== "none" &&
    version === stage.run.destination;
  const nowMs = parts.clock.nowMs();
  switch (assignment.kind) {
    case "none":
      return false;
    case "any":
      return stage.kind === "switch"
        ? isDestination
        : !isDestination && isActive(state, version);
    case "in-force":
      return !isDestination && assignment.versions.includes(version) &&
        isActive(state, version) &&
        !(stage.kind === "switch" && stage.run.hasLeft);
    case "trial":
      return stage.kind === "trial" && isDestination &&
        assignment.servers.has(server.id) && stage.run.budget.canSpend() &&
        parts.fleet.isInTouch(nowMs);
    case "destination":
      if (version !== assignment.destination) return false;
      // The order may have completed since the assignment.
      if (stage.kind === "none") return isActive(state, version);
      return isDestination && (stage.kind === "switch" ||
        (stage.kind === "ramp" && parts.fleet.isInTouch(nowMs)));
  }
}

/** Returns whether a version may get calls other than by a running order. */
function isActive(state: ServiceRollout, version: ServerVersion): boolean {
  return state.previousVersions.includes(version);
}

/** Assigns a resumed stream, which must stay with the version that began it. */
function assignFixed(
  state: ServiceRollout,
  stage: Stage,
  { region }: VersionedCall,
  version: ServerVersion,
): VersionAssignment {
  if (stage.kind !== "none" && version === stage.run.destination) {
    if (stage.kind !== "trial") {
      return { kind: "destination", destination: version };
    }
    const ready = state.versions.listReady(version, region);
    const servers = new Set(ready.map(({ id }) => id));
    return { kind: "trial", destination: version, servers };
  }
  const hasLeft = stage.kind === "switch" && stage.run.hasLeft;
  return isActive(state, version) && !hasLeft ? toInForce([version]) : NONE;
}

function assignTrial(
  state: ServiceRollout,
  { run, progress }: RunningStage,
  { affinityKey, region, route = UNNAMED_ROUTE }: VersionedCall,
  { bounds }: RolloutTrackerParts,
  nowMs: number,
): VersionAssignment | undefined {
  const { naturalShare, servers } = state.getCanary(run, region);
  if (servers.size === 0) return undefined;
  const isDrawn = run.lottery.draw(
    { route, affinityKey },
    {
      share: TRIAL_PART * bounds.exposureShare,
      naturalShare,
      elapsedMs: Math.max(0, nowMs - progress.startedMs),
      available: run.budget.available,
    },
  );
  return isDrawn && run.budget.canSpend()
    ? { kind: "trial", destination: run.destination, servers }
    : undefined;
}

function assignRamp(
  state: ServiceRollout,
  { run, progress }: RunningStage,
  { affinityKey, region, route = UNNAMED_ROUTE }: VersionedCall,
  { bounds }: RolloutTrackerParts,
  nowMs: number,
): VersionAssignment | undefined {
  const { destination } = run;
  if (state.versions.listReady(destination, region).length === 0) {
    return undefined;
  }
  const share = computeRampShare(bounds, progress, nowMs);
  return run.lottery.isAmong({ route, affinityKey }, share)
    ? { kind: "destination", destination }
    : undefined;
}

function toInForce(versions: readonly ServerVersion[]): VersionAssignment {
  return { kind: "in-force", versions };
}
