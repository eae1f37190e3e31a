import type { LimitBounds } from "../admission/mod.ts";
import { toRegionId, toTeamId } from "../ids/mod.ts";
import type { TeamLimit } from "../teams/mod.ts";

/** Call that arrives at an instance and is to be admitted or refused. */
export interface LimitArrival {
  readonly atMs: number;
  readonly instance: number;
  /** Tokens that the call counts for. */
  readonly weight: number;
}

/** Fault that affects instances during a time span. */
export interface LimitFault {
  readonly kind: "cut" | "freeze" | "restart" | "lower-limit";
  readonly fromMs: number;
  readonly untilMs: number;
  /** Whether an instance is affected. Default: all are. */
  readonly isAffected?: (instance: number) => boolean;
  /** Factor on the limit from `fromMs` on, for kind `lower-limit`. Default: 1. */
  readonly factor?: number;
}

/** Simulated fleet that enforces the limit of one team, without servers and sockets. */
export interface LimitFleet {
  /** Returns whether a call is admitted. */
  admit(arrival: LimitArrival): boolean;
  /** Performs the periodic work of all instances, once every `TICK_MS`. */
  tick(nowMs: number): void;
  /** Restarts an instance, which loses its state. */
  restart(instance: number, nowMs: number): void;
  setLimit(limit: TeamLimit): void;
  /** Number of rows or messages that all instances sent. */
  readonly sent: number;
}

/** Size and limit of a fleet, and the state of its instances and network over time. */
export interface LimitFleetParts {
  readonly instances: number;
  readonly limit: TeamLimit;
  readonly bounds: LimitBounds;
  /** Whether messages from one instance reach another at this time. */
  readonly isReachable: (from: number, to: number, nowMs: number) => boolean;
  /** Whether an instance is stalled at this time. */
  readonly isStalled: (instance: number, nowMs: number) => boolean;
}

/** Regions of a fleet. */
export const REGIONS = ["r0", "r1", "r2"].map(toRegionId);
/** Time between two reports of an instance, in milliseconds. */
export const TICK_MS = 150;
/** Only team of a fleet. */
export const LIMITED_TEAM = toTeamId("team");

/** Returns the index in `REGIONS` of the region of an instance. */
export function toRegionIndex(instance: number): number {
  return instance % REGIONS.length;
}
