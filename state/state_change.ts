import type { Result } from "neverthrow";
import type { RouteConfiguration } from "../http_routes/mod.ts";
import type {
  BackendId,
  CallFingerprint,
  FailureDomainId,
} from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/** What one key of the store says, in the project's words. */
export type StateDocument =
  | {
    readonly kind: "configuration";
    readonly configuration: RouteConfiguration;
  }
  | { readonly kind: "server"; readonly server: RegisteredServer }
  /** The servers of a failure domain are to get nothing. */
  | { readonly kind: "evacuation"; readonly failureDomain: FailureDomainId }
  /** Where another instance can be reached. */
  | { readonly kind: "instance"; readonly address: string }
  /** A call under which servers ended, refused until some time after the last of them. */
  | {
    readonly kind: "refused-call";
    readonly call: CallFingerprint;
    readonly servers: readonly BackendId[];
    /** When the last of them ended, in milliseconds since the epoch. */
    readonly endedMs: number;
  }
  /** Nothing that is followed here. */
  | { readonly kind: "other" };

/** Reads the documents in the store. */
export interface StateDecoder {
  /**
   * Decodes one document.
   *
   * @returns What it says, or what is wrong with it.
   */
  decode(key: string, value: string): Result<StateDocument, string>;
}
