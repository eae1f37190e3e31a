import type { Result } from "neverthrow";
import type { RouteConfiguration } from "../http_routes/mod.ts";
import type {
  BackendId,
  CallFingerprint,
  FailureDomainId,
  InstanceId,
  RegionId,
  ServerVersion,
} from "../ids/mod.ts";
import type { RolloutRecord } from "../rollouts/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/** An instance that has an entry in the store. */
export interface RegisteredInstance {
  readonly id: InstanceId;
  readonly address: string;
  /** `undefined`: it runs earlier software, which does not write its region. */
  readonly region: RegionId | undefined;
}

/** An operator's order, without the id that its entry gives it. */
export interface RolloutOrderDocument {
  readonly service: string;
  readonly destination: ServerVersion;
  readonly durationMs: number;
}

/** Decoded value of a key in the store. */
export type StateDocument =
  | {
    readonly kind: "configuration";
    readonly configuration: RouteConfiguration;
  }
  | { readonly kind: "server"; readonly server: RegisteredServer }
  /** A failure domain whose servers are to get no calls. */
  | { readonly kind: "evacuation"; readonly failureDomain: FailureDomainId }
  /** Another instance, and the address at which it can be reached. */
  | (RegisteredInstance & { readonly kind: "instance" })
  /** An operator's order to move a service's calls to servers of another version. */
  | (RolloutOrderDocument & { readonly kind: "rollout-order" })
  /** An order that can't be applied: the order before it stays in force. */
  | {
    readonly kind: "refused-order";
    readonly service: string;
    /** Version that it names, where that much can be read. */
    readonly destination: ServerVersion | undefined;
    readonly reason: string;
  }
  /** What instances have decided on the versions of a service. */
  | { readonly kind: "rollout-record"; readonly record: RolloutRecord }
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
