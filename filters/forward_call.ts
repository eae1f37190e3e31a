import { err, ok, type Result } from "neverthrow";
import { createToken } from "../clock/mod.ts";
import type { DispatchFailure } from "../engine/mod.ts";
import { type InstanceId, toAttemptId, toBackendId } from "../ids/mod.ts";
import type { InstanceRecord, Membership } from "../membership/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { Exchange, Reply } from "./exchange.ts";
import { readCall, readTeam } from "./exchange.ts";
import { relayStream, type StreamSource } from "./relay_stream.ts";
import {
  createBackendCall,
  getDeadlineSignal,
  type ServeParts,
  toFailure,
} from "./serve_locally.ts";

/** Dependencies of forwarding. */
export interface ForwardParts extends ServeParts {
  readonly self: InstanceId;
  readonly membership: Membership;
  /** Token with which instances authenticate to each other. */
  readonly peerToken: string;
}

/** Why a forwarded call got no answer. */
export interface ForwardFailure {
  readonly failure: Failure;
  /** Whether the request may still be served elsewhere. */
  readonly mayRetryElsewhere: boolean;
}

/**
 * Forwards a call once, to another instance. That instance serves or
 * refuses the call; it never forwards the call again.
 *
 * @param parts Dependencies of forwarding.
 * @param exchange A parsed request from a caller.
 * @param instance Instance that the call is forwarded to.
 */
export async function forwardCall(
  parts: ForwardParts,
  exchange: Exchange,
  instance: InstanceRecord,
): Promise<Result<Reply, ForwardFailure>> {
  const call = readCall(exchange);
  const attempt = toAttemptId(createToken(parts.random));
  const signal = getDeadlineSignal(parts.clock, exchange);
  const server = toBackendServer(instance, call.service);
  const backendCall = createBackendCall(call, server, attempt);
  const path = call.kind === "plain"
    ? `/services/${call.service}${call.path}`
    : call.path;
  const result = await parts.backend.dispatch({
    ...backendCall,
    path,
    headers: {
      ...backendCall.headers,
      ...createForwardHeaders(parts, exchange),
    },
  }, signal);
  if (result.isErr()) {
    return err(toForwardFailure(result.error, exchange, parts));
  }
  const answer = result.value;
  const headers = { "x-forwarded-region": instance.region };
  if (answer.kind === "whole") {
    parts.recordUsage(exchange, 0);
    return ok({
      kind: "whole",
      status: answer.status,
      headers: { ...answer.headers, ...headers },
      body: answer.body,
      mayBeCut: answer.mayBeCut === true,
    });
  }
  const source: StreamSource = {
    attempt,
    recordFirstToken: () => {},
    resume: (_, resumeSignal) => refuseResume(resumeSignal),
    continueElsewhere: (body, nextSignal) =>
      continueAtHome(parts, exchange, { body, nextSignal }),
    end: (outcome, tokens) => {
      if (outcome === "cancelled") void parts.backend.cancel(server, attempt);
      parts.recordUsage(exchange, tokens);
    },
  };
  const events = relayStream(parts, exchange, {
    source,
    events: answer.events,
  });
  return ok({ kind: "events", headers, events });
}

/** Returns the headers that mark a request as forwarded. */
function createForwardHeaders(
  parts: ForwardParts,
  exchange: Exchange,
): Readonly<Record<string, string>> {
  const call = readCall(exchange);
  const session = exchange.request.headers["x-session"];
  const skipsCredit = exchange.request.headers["x-forwarded-bound"] === "true";
  return {
    "authorization": `Bearer ${parts.peerToken}`,
    "x-forwarded-from": parts.self,
    "x-forwarded-team": readTeam(exchange).id,
    "x-request-id": exchange.requestId,
    "x-deadline-ms": String(
      Math.max(1, Math.floor(call.dueMs - parts.clock.nowMs())),
    ),
    ...(call.isIdempotent ? {} : { "x-non-idempotent": "true" }),
    ...(call.runKey === undefined ? {} : {
      "idempotency-key": call.runKey.slice(call.runKey.indexOf("/") + 1),
    }),
    ...(session === undefined ? {} : { "x-session": session }),
    ...(skipsCredit ? { "x-forwarded-bound": "true" } : {}),
  };
}

function toBackendServer(
  record: InstanceRecord,
  service: string,
): BackendServer {
  return {
    id: toBackendId(record.id),
    service,
    region: record.region,
    failureDomain: record.failureDomain,
    url: record.callerUrl,
    isLeaving: record.isLeaving,
    slots: 1,
    pricePerSecond: 0,
    checksFencing: false,
  };
}

function toForwardFailure(
  failure: DispatchFailure,
  exchange: Exchange,
  parts: ForwardParts,
): ForwardFailure {
  const call = readCall(exchange);
  const leftMs = call.dueMs - parts.clock.nowMs();
  const isBroken = failure.kind === "broken";
  return {
    failure: toFailure(failure, isBroken, leftMs),
    mayRetryElsewhere: !isBroken ||
      (call.isIdempotent && parts.retries.admit()),
  };
}

async function refuseResume(
  signal: AbortSignal,
): Promise<Result<never, DispatchFailure>> {
  const message = signal.aborted
    ? "The deadline passed"
    : "A forwarded stream is not resumed";
  return await Promise.resolve(err({ kind: "broken", message }));
}

async function continueAtHome(
  parts: ForwardParts,
  exchange: Exchange,
  continuation: {
    readonly body: Readonly<Record<string, unknown>>;
    readonly nextSignal: AbortSignal;
  },
): ReturnType<StreamSource["continueElsewhere"]> {
  const call = readCall(exchange);
  const isAllowed = exchange.allowedRegions?.has(parts.region) ?? true;
  const engine = isAllowed
    ? parts.readPool(call.service).pick(call.size, new Set())
    : undefined;
  if (engine === undefined || !parts.retries.admit()) return undefined;
  const attempt = toAttemptId(createToken(parts.random));
  const continuedCall = {
    ...call,
    body: Buffer.from(JSON.stringify(continuation.body)),
  };
  const backendCall = createBackendCall(continuedCall, engine.server, attempt);
  return {
    attempt,
    result: await parts.backend.dispatch(backendCall, continuation.nextSignal),
  };
}
