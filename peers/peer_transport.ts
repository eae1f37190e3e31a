import type { Result } from "neverthrow";
import type { BorrowRequest, RateLoan } from "../admission/mod.ts";
import type { CatchUpAnswer } from "../configuration/mod.ts";
import type { AttemptId, InstanceId, RunKey } from "../ids/mod.ts";
import type { BeginOutcome, Run, RunEnd } from "../run_journal/mod.ts";
import type { Heartbeat, InstanceRecord } from "../membership/mod.ts";
import type { ConfigurationEntry } from "../resources/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { CreditGrant } from "../routing/mod.ts";

/** Serialised form of a result. */
export type WireResult<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "failed"; readonly failure: Failure };

/** The JSON-RPC methods between daemons. */
export interface PeerMethods {
  "configuration.push": {
    readonly params: { readonly entries: readonly ConfigurationEntry[] };
    readonly result: { readonly sequence: number };
  };
  "configuration.pull": {
    readonly params: { readonly after: number };
    readonly result: CatchUpAnswer;
  };
  "journal.begin": {
    readonly params: { readonly run: Run };
    readonly result: WireResult<BeginOutcome>;
  };
  "journal.finish": {
    readonly params: {
      readonly key: RunKey;
      readonly attempt: AttemptId;
      readonly end: RunEnd;
    };
    readonly result: { readonly kind: "ok" };
  };
  "limits.borrow": {
    readonly params: { readonly wish: BorrowRequest };
    readonly result: RateLoan;
  };
  "credits.grant": {
    readonly params: {
      readonly from: InstanceId;
      readonly service: string;
      readonly wanted: number;
    };
    readonly result: CreditGrant;
  };
}

/** Name of a method between daemons. */
export type PeerMethod = keyof PeerMethods;

/** Why a call to a peer has no result. */
export interface PeerFailure {
  /** `unreachable`: the peer did not receive the call. `unknown`: it may have. */
  readonly kind: "unreachable" | "unknown";
  readonly message: string;
}

/** The port to other daemons. */
export interface PeerTransport {
  /** Sends a heartbeat, without a guarantee of delivery. */
  send(to: InstanceRecord, heartbeat: Heartbeat): void;
  /** Calls a method of a peer. */
  call<Method extends PeerMethod>(
    to: InstanceRecord,
    method: Method,
    params: PeerMethods[Method]["params"],
  ): Promise<Result<PeerMethods[Method]["result"], PeerFailure>>;
}

/** Handlers of a daemon for the methods that peers call. */
export type PeerHandlers = {
  readonly [Method in PeerMethod]: (
    params: PeerMethods[Method]["params"],
  ) => Promise<PeerMethods[Method]["result"]> | PeerMethods[Method]["result"];
};
