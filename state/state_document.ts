import type { Result } from "neverthrow";
import type { RouteConfiguration } from "../http_routes/mod.ts";
import type {
  BackendId,
  CallFingerprint,
  FailureDomainId,
} from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/** Decoded value of a key in the store. */
export type StateDocument =
  | {
    readonly kind: "configuration";
    readonly configuration: RouteConfiguration;
  }
  | { readonly kind: "server"; readonly server: RegisteredServer }
  /** A failure domain whose servers are to get no calls. */
  | { readonly kind: "evacuation"; readonly failureDomain: FailureDomainId }
  /** Address at which another instance can be reached. */
  | { readonly kind: "instance"; readonly address: string }
  /** A call during which servers crashed, refused until some time after the last crash. */
  | {
    readonly kind: "refused-call";
    readonly call: CallFingerprint;
    readonly servers: readonly BackendId[];
    /** When the last of these servers crashed, in milliseconds since the epoch. */
    readonly endedMs: number;
    /** Number of trials that crashed servers again. Default: 0. */
    readonly failedTrials?: number | undefined;
  }
  /** A key that instances don't follow. */
  | { readonly kind: "other" };

/** Decodes the documents in the store. */
export interface StateDecoder {
  /**
   * Decodes one document.
   *
   * @returns The document, or why it can't be decoded.
   */
  decode(key: string, value: string): Result<StateDocument, string>;
}
