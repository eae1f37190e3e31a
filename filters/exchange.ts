import type { Result } from "neverthrow";
import type { Priority } from "../admission/mod.ts";
import type { InstanceId, RegionId, RequestId, RunKey } from "../ids/mod.ts";
import type { CallContent } from "../quarantine/mod.ts";
import type { Team } from "../resources/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { CallSize } from "../routing/mod.ts";

/** A request as received, independent of the transport. */
export interface GatewayRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  /** Query with its question mark; empty if there is none. */
  readonly query: string;
  /** Header values by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  /** Reads the whole body, within the limits of size and time. */
  readonly readBody: () => Promise<Result<Buffer, Failure>>;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** One event of a stream to a caller or a peer. */
export interface ReplyEvent {
  readonly data: string;
  /** Attempt id and index; set only in streams to peers. */
  readonly id?: string;
}

/** What is sent back for a request: a whole answer or a stream of events. */
export type Reply =
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array;
    /** Whether a server's body may have been cut; a header then says so. Default: no. */
    readonly mayBeCut?: boolean;
  }
  | {
    readonly kind: "events";
    readonly headers: Readonly<Record<string, string>>;
    readonly events: AsyncIterable<ReplyEvent>;
  };

/** Sender of a request: a caller, or a peer that forwards it. */
export type Origin =
  | { readonly kind: "caller" }
  | {
    readonly kind: "peer";
    readonly from: InstanceId;
    readonly attempt: string;
  };

interface CommonCall {
  readonly service: string;
  readonly priority: Priority;
  /** Deadline of the answer, in milliseconds since the epoch. */
  readonly dueMs: number;
  readonly isIdempotent: boolean;
  /** Key of the run in the journal; set only if the run must be journalled. */
  readonly runKey: RunKey | undefined;
  readonly bodyHash: string;
  readonly size: CallSize;
  readonly path: string;
  readonly method: string;
  readonly body: Buffer;
}

/** A call of a model. */
export interface ModelCall extends CommonCall {
  readonly kind: "model";
  readonly model: string;
  readonly isStream: boolean;
  readonly json: Readonly<Record<string, unknown>>;
  readonly firstTokenMs: number;
}

/** A call of a plain service. */
export interface PlainCall extends CommonCall {
  readonly kind: "plain";
  readonly contentType: string | undefined;
}

/** What a request asks for, once parsed. */
export type Call = ModelCall | PlainCall;

/** One request and what the filters have learned about it so far. */
export interface Exchange {
  readonly request: GatewayRequest;
  readonly requestId: RequestId;
  /** When the request was received, in milliseconds since the epoch. */
  readonly receivedMs: number;
  readonly origin: Origin;
  /** Aborts when the request has been answered; this cancels all of its timers. */
  readonly ended: AbortSignal;
  /** Aborts when the caller disconnects or the deadline passes; created on first use. */
  deadlineSignal?: AbortSignal;
  /** Parameters of the path. */
  readonly params: Readonly<Record<string, string | undefined>>;
  team?: Team;
  call?: Call;
  /** Parts of the call that stay the same when the team sends it again; created on first use. */
  content?: CallContent;
  /** Whether the call is quarantined, and sent once to learn whether it still crashes servers. */
  isTrial?: boolean;
  /** Regions that may serve the call; `undefined` if all may. */
  allowedRegions?: ReadonlySet<RegionId> | undefined;
}

/** Runs the next filter. */
export type Next = () => Promise<Result<Reply, Failure>>;

/** One step of the chain: returns a reply or a failure, or runs the next filter. */
export type Filter = (
  exchange: Exchange,
  next: Next,
) => Promise<Result<Reply, Failure>>;

/**
 * Returns one filter that runs others in order.
 *
 * @param filters Filters to run; the last one must not run the next filter.
 */
export function composeFilters(filters: readonly Filter[]): Filter {
  return (exchange, next) => {
    const runFrom = (index: number): Promise<Result<Reply, Failure>> => {
      const filter = filters[index];
      return filter === undefined
        ? next()
        : filter(exchange, () => runFrom(index + 1));
    };
    return runFrom(0);
  };
}

/**
 * Returns the team of an exchange.
 *
 * @throws {Error} If no filter has identified it: a bug in the chain.
 */
export function readTeam(exchange: Exchange): Team {
  if (exchange.team === undefined) {
    throw new Error("Cannot read the team: not identified yet");
  }
  return exchange.team;
}

/**
 * Returns the call of an exchange.
 *
 * @throws {Error} If no filter has parsed it: a bug in the chain.
 */
export function readCall(exchange: Exchange): Call {
  if (exchange.call === undefined) {
    throw new Error("Cannot read the call: not parsed yet");
  }
  return exchange.call;
}

/** Returns a JSON reply. */
export function createJsonReply(status: number, body: unknown): Reply {
  return {
    kind: "whole",
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  };
}
