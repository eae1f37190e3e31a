import type { Result } from "neverthrow";
import type { AttemptId } from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";

/** One attempt to have a backend server do work. */
export interface BackendCall {
  readonly server: BackendServer;
  readonly attempt: AttemptId;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | undefined;
  /** Whether a stream of events is wanted. */
  readonly isStream: boolean;
}

/** How an attempt failed before any part of an answer was there. */
export type DispatchFailure =
  /** No byte of the request went out. */
  | { readonly kind: "not-sent"; readonly message: string }
  /** The server itself said that it did not run the work. */
  | {
    readonly kind: "refused";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  /** Something went out and no answer came: the work may have run. */
  | {
    readonly kind: "broken";
    readonly message: string;
    /** Whether the server ended the connection. Default: no. */
    readonly isClosed?: boolean;
  };

/** What an engine says of its load. It lags. */
export interface EngineLoad {
  /** Sequences being decoded. */
  readonly running: number;
  /** Sequences waiting. */
  readonly queued: number;
  /** Prompt tokens that wait for prefill. */
  readonly queuedTokens: number;
  /** Age that the report has when it arrives, in milliseconds. */
  readonly lagMs: number;
}

/** One event of a stream. */
export interface StreamEvent {
  /** Attempt that the event belongs to, and its position, from 0. */
  readonly attempt: string;
  readonly index: number;
  /** Data of the event, as sent. */
  readonly data: string;
}

/** The data that ends every stream. */
export const END_OF_STREAM = "[DONE]";

/** The answer of a backend server. */
export type BackendAnswer =
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly load: EngineLoad | undefined;
  }
  | {
    readonly kind: "stream";
    /** Ends without {@linkcode END_OF_STREAM} or throws when the stream breaks. */
    readonly events: AsyncIterable<StreamEvent>;
    readonly load: EngineLoad | undefined;
  };

/** An order to an engine to change what it serves. */
export interface EngineOrder {
  /** Grows with each holder of the lease of the region's placement. */
  readonly fencingToken: number;
  readonly orderId: string;
  /** Version to serve; `undefined` to unload. */
  readonly version: string | undefined;
}

/** What an engine reports of what it serves. */
export interface EngineState {
  /** Version in service; `undefined` for none. */
  readonly version: string | undefined;
  /** Version being loaded. */
  readonly loading: string | undefined;
  /** Last order it has taken. */
  readonly orderId: string | undefined;
  /** Why the last load failed. */
  readonly failure: string | undefined;
}

/** How an order failed. */
export type OrderFailure =
  | { readonly kind: "fenced"; readonly message: string }
  | { readonly kind: "unreachable"; readonly message: string };

/** The port to model engines and plain services. */
export interface BackendClient {
  /** Makes one attempt. */
  dispatch(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, DispatchFailure>>;
  /** Takes up a stream again after the event of an index. */
  resume(
    server: BackendServer,
    attempt: AttemptId,
    options: { readonly afterIndex: number; readonly signal: AbortSignal },
  ): Promise<Result<BackendAnswer, DispatchFailure>>;
  /** Ends a stream for good, so that it costs no more. */
  cancel(server: BackendServer, attempt: AttemptId): Promise<void>;
  /** Asks for the load. */
  readLoad(
    server: BackendServer,
    signal: AbortSignal,
  ): Promise<Result<EngineLoad, DispatchFailure>>;
  /** Orders a change. */
  order(
    server: BackendServer,
    order: EngineOrder,
  ): Promise<Result<void, OrderFailure>>;
  /** Asks what is served. */
  readState(
    server: BackendServer,
  ): Promise<Result<EngineState, DispatchFailure>>;
}
