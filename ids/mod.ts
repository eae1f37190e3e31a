/**
 * Branded identifiers, so that an engine id is never passed for an instance id.
 *
 * @example
 * ```ts
 * import { toEngineId } from "./ids/mod.ts";
 * const id = toEngineId("recife-a-e1");
 * ```
 * @module
 */

export * from "./network_address.ts";

declare const brand: unique symbol;

/** A string whose type carries the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

/** One instance, by its configured name. */
export type InstanceId = Branded<"InstanceId">;
/** One start of one instance. */
export type Incarnation = Branded<"Incarnation">;
/** One start of a backend server: a model engine or a server of a plain service. */
export type BackendId = Branded<"BackendId">;
/** One region. */
export type RegionId = Branded<"RegionId">;
/** One failure domain inside a region. */
export type FailureDomainId = Branded<"FailureDomainId">;
/** One team of callers. */
export type TeamId = Branded<"TeamId">;
/** One request; its id comes from the instance that received it from the caller. */
export type RequestId = Branded<"RequestId">;
/** One attempt of one request at one backend server. */
export type AttemptId = Branded<"AttemptId">;
/** One send of a call to another instance; its id comes from the instance that sends it. */
export type SendId = Branded<"SendId">;
/** An idempotency key with its team. */
export type RunKey = Branded<"RunKey">;
/**
 * What calls have in common that are equal or alike: a digest of their method, host, path and
 * body, or a part of their prompts.
 */
export type CallFingerprint = Branded<"CallFingerprint">;
/** One write to the store; never used twice. */
export type ChangeId = Branded<"ChangeId">;
/** Version of a service's servers, as their entries declare it. */
export type ServerVersion = Branded<"ServerVersion">;
/** One order to roll out a version. */
export type RolloutId = Branded<"RolloutId">;

/** Base in which an id contains the start time of a server: 8 characters instead of 13. */
const START_RADIX = 36;

/** Returns the text as an instance id. */
export const toInstanceId = (text: string): InstanceId => text as InstanceId;
/** Returns the text as an incarnation. */
export const toIncarnation = (text: string): Incarnation => text as Incarnation;
/** Returns the text as a backend server id. */
export const toBackendId = (text: string): BackendId => text as BackendId;
/** Returns the text as a region id. */
export const toRegionId = (text: string): RegionId => text as RegionId;
/** Returns the text as a failure domain id. */
export const toFailureDomainId = (text: string): FailureDomainId =>
  text as FailureDomainId;
/** Returns the text as a team id. */
export const toTeamId = (text: string): TeamId => text as TeamId;
/** Returns the text as a request id. */
export const toRequestId = (text: string): RequestId => text as RequestId;
/** Returns the text as an attempt id. */
export const toAttemptId = (text: string): AttemptId => text as AttemptId;
/** Returns the text as a call fingerprint. */
export const toCallFingerprint = (text: string): CallFingerprint =>
  text as CallFingerprint;
/** Returns the text as the id of a send. */
export const toSendId = (text: string): SendId => text as SendId;
/** Returns the text as a change id. */
export const toChangeId = (text: string): ChangeId => text as ChangeId;
/** Returns the text as a server version. */
export const toServerVersion = (text: string): ServerVersion =>
  text as ServerVersion;
/** Returns the text as a rollout id. */
export const toRolloutId = (text: string): RolloutId => text as RolloutId;

/**
 * Returns the id of one start of a backend server. A server that restarts under the
 * same name gets another id. What was learned, counted or reported of an earlier start
 * then refers to an id that is no longer in use, in whatever order it arrives.
 *
 * @param name Name that the server gives itself, without an `@`.
 * @param startedMs Start time, in milliseconds since the epoch. Default: none; the
 * name stands for all starts of the server.
 */
export function toServerStartId(name: string, startedMs?: number): BackendId {
  if (startedMs === undefined) return toBackendId(name);
  // Short, since reports between instances contain server ids many times a second.
  return toBackendId(`${name}@${startedMs.toString(START_RADIX)}`);
}

/**
 * Returns the key of a run. An idempotency key is scoped to its team.
 *
 * @param team Team of the caller.
 * @param key The caller's `Idempotency-Key`.
 */
export function toRunKey(team: TeamId, key: string): RunKey {
  return `${team}/${key}` as RunKey;
}
