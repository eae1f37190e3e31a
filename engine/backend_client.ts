import type { Result } from "neverthrow";
import type { AttemptId } from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";

/** One attempt to run a call on a backend server. */
export interface BackendCall {
  readonly server: BackendServer;
  readonly attempt: AttemptId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | undefined;
  /** Whether the caller requests a stream of events. */
  readonly isStream: boolean;
}

/** How an attempt failed before any part of an answer arrived. */
export type DispatchFailure =
  /** No byte of the request was sent. */
  | { readonly kind: "not-sent"; readonly message: string }
  /** The server reported that it did not run the work. */
  | {
    readonly kind: "refused";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  /** Part of the request was sent and no answer arrived: the work may have run. */
  | {
    readonly kind: "broken";
    readonly message: string;
    /** Whether the server closed the connection. Default: `false`. */
    readonly isClosed?: boolean;
  };

/** Load that an engine reports; the report is older than its arrival. */
export interface EngineLoad {
  /** Number of sequences being decoded. */
  readonly running: number;
  /** Number of sequences that wait. */
  readonly queued: number;
  /** Number of prompt tokens that wait for prefill. */
  readonly queuedTokens: number;
  /** Age of the report when it arrives, in milliseconds. */
  readonly lagMs: number;
}

/** One event of a stream. */
export interface StreamEvent {
  /** Id of the attempt that the event belongs to. */
  readonly attempt: string;
  /** Position in the stream, from 0. */
  readonly index: number;
  /** Data of the event, as sent. */
  readonly data: string;
}

/** Data of the terminal event of every stream. */
export const END_OF_STREAM = "[DONE]";

/** Answer of a backend server: complete, or as a stream of events. */
export type BackendAnswer =
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /**
     * Whether only the end of the connection ended the body, so that nobody knows whether it is
     * whole. Default: no.
     */
    readonly mayBeCut?: boolean;
    readonly load: EngineLoad | undefined;
  }
  | {
    readonly kind: "stream";
    /** Ends without {@linkcode END_OF_STREAM}, or throws, if the stream is interrupted. */
    readonly events: AsyncIterable<StreamEvent>;
    readonly load: EngineLoad | undefined;
  };

/** Header with the id of one try of a request, which its answer repeats. */
export const ATTEMPT_ID_HEADER = "x-attempt-id";
/**
 * Header on an answer whose server did not tell its end: the length or the last chunk that an
 * instance itself adds only shows that the instance has passed on all that it got.
 */
export const MAY_BE_CUT_HEADER = "x-may-be-cut";

/** Order to an engine to change the version that it serves. */
export interface EngineOrder {
  /** Fencing token of the lease of the region's placement; it grows with each holder. */
  readonly fencingToken: number;
  readonly orderId: string;
  /** Version to serve; `undefined` to unload. */
  readonly version: string | undefined;
}

/** State that an engine reports. */
export interface EngineState {
  /** Version that is served; `undefined` for none. */
  readonly version: string | undefined;
  /** Version that is being loaded; `undefined` for none. */
  readonly loading: string | undefined;
  /** Id of the last order that the engine accepted. */
  readonly orderId: string | undefined;
  /** Why the last load failed; `undefined` if it did not. */
  readonly failure: string | undefined;
}

/**
 * How an order failed. `fenced`: the engine has accepted an order with a newer fencing
 * token. `unreachable`: the engine gave no answer, or an error.
 */
export type OrderFailure =
  | { readonly kind: "fenced"; readonly message: string }
  | { readonly kind: "unreachable"; readonly message: string };

/** Port to the backend servers of models and plain services. */
export interface BackendClient {
  /** Sends a call once. */
  dispatch(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, DispatchFailure>>;
  /** Resumes a stream after the event with a given index. */
  resume(
    server: BackendServer,
    attempt: AttemptId,
    options: { readonly afterIndex: number; readonly signal: AbortSignal },
  ): Promise<Result<BackendAnswer, DispatchFailure>>;
  /** Cancels a stream, so that the server does no more work for it. */
  cancel(server: BackendServer, attempt: AttemptId): Promise<void>;
  /** Reads the load that a server reports. */
  readLoad(
    server: BackendServer,
    signal: AbortSignal,
  ): Promise<Result<EngineLoad, DispatchFailure>>;
  /** Sends an order to an engine. */
  order(
    server: BackendServer,
    order: EngineOrder,
  ): Promise<Result<void, OrderFailure>>;
  /** Reads which version an engine serves. */
  readState(
    server: BackendServer,
  ): Promise<Result<EngineState, DispatchFailure>>;
}
