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

declare const brand: unique symbol;

/** A string that carries the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

/** One daemon process, by its configured name. */
export type InstanceId = Branded<"InstanceId">;
/** One start of one daemon process. */
export type Incarnation = Branded<"Incarnation">;
/** One start of a model engine or plain service server. */
export type BackendId = Branded<"BackendId">;
/** One region. */
export type RegionId = Branded<"RegionId">;
/** One failure domain inside a region. */
export type FailureDomainId = Branded<"FailureDomainId">;
/** One team of callers. */
export type TeamId = Branded<"TeamId">;
/** One request at its entry. */
export type RequestId = Branded<"RequestId">;
/** One attempt of one request at one backend server. */
export type AttemptId = Branded<"AttemptId">;
/** An idempotency key with its team. */
export type RunKey = Branded<"RunKey">;
/** Method, host, path and body of a call: a call that comes again has the same. */
export type CallFingerprint = Branded<"CallFingerprint">;
/** One write to the store, unique for ever. */
export type ChangeId = Branded<"ChangeId">;

/** Base in which the start of a server is written into its id: 8 signs in place of 13. */
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
/** Returns the text as a change id. */
export const toChangeId = (text: string): ChangeId => text as ChangeId;

/**
 * Returns the id of one start of a backend server. A server that comes back under
 * its name is another one: what was learned, counted or told of the start before
 * names an id that nobody has any more, in whatever order it arrives.
 *
 * @param name What the server calls itself, without an `@`.
 * @param startedMs When it started, in milliseconds since the epoch. Default: its
 * name stands for all its starts.
 */
export function toStartedId(name: string, startedMs?: number): BackendId {
  if (startedMs === undefined) return toBackendId(name);
  // Short, since reports between instances name servers many times a second.
  return toBackendId(`${name}@${startedMs.toString(START_RADIX)}`);
}

/**
 * Returns the key of a run: an idempotency key is scoped to its team.
 *
 * @param team Team of the caller.
 * @param key The caller's `Idempotency-Key`.
 */
export function toRunKey(team: TeamId, key: string): RunKey {
  return `${team}/${key}` as RunKey;
}
