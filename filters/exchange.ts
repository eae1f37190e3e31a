import type { Result } from "neverthrow";
import type { Priority } from "../admission/mod.ts";
import type { InstanceId, RegionId, RequestId, RunKey } from "../ids/mod.ts";
import type { CallContent } from "../quarantine/mod.ts";
import type { Team } from "../resources/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { CallSize } from "../routing/mod.ts";

/** A request as it came in, whatever carried it. */
export interface GatewayRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  /** Query with its question mark, or empty. */
  readonly query: string;
  /** Header values by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  /** Reads the whole body, within the limits of size and time. */
  readonly readBody: () => Promise<Result<Buffer, Failure>>;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
}

/** One event sent to a caller or peer. */
export interface ReplyEvent {
  readonly data: string;
  /** Sent to peers: attempt and index. */
  readonly id?: string;
}

/** What is sent back. */
export type Reply =
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array;
  }
  | {
    readonly kind: "events";
    readonly headers: Readonly<Record<string, string>>;
    readonly events: AsyncIterable<ReplyEvent>;
  };

/** Who sent a request here. */
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
  /** When the answer is due, in milliseconds since the epoch. */
  readonly dueMs: number;
  readonly isIdempotent: boolean;
  /** Set where the run must be journalled. */
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

/** What a request asks for. */
export type Call = ModelCall | PlainCall;

/** A request on its way through the filters, which fill it in. */
export interface Exchange {
  readonly request: GatewayRequest;
  readonly requestId: RequestId;
  readonly receivedMs: number;
  readonly origin: Origin;
  /** Aborts when the request has been answered, and all of its timers with it. */
  readonly ended: AbortSignal;
  /** Aborts with the caller or at the deadline; made when first needed. */
  deadline?: AbortSignal;
  /** Parameters of the path. */
  readonly params: Readonly<Record<string, string | undefined>>;
  team?: Team;
  call?: Call;
  /** What is the same where the team sends the call again; made when first needed. */
  content?: CallContent;
  /** Regions that may serve it; `undefined` for all. */
  allowed?: ReadonlySet<RegionId> | undefined;
}

/** Goes on to the next filter. */
export type Next = () => Promise<Result<Reply, Failure>>;

/** One step of the chain: answers, refuses, or goes on. */
export type Filter = (
  exchange: Exchange,
  next: Next,
) => Promise<Result<Reply, Failure>>;

/**
 * Returns one filter that runs others in order.
 *
 * @param filters The last one must not go on.
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
