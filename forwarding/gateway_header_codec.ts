import type {
  AnswerFacts,
  CallFacts,
  CallHeaderCodec,
  RawHeaders,
  SendFacts,
} from "./call_header_codec.ts";
import { isHopHeader } from "./hop_headers.ts";
import {
  listHeaders,
  parseAmount,
  parseRetryAfterMs,
  pickForwarded,
  readHeader,
} from "./http_headers.ts";

/** The caller's id of one call, which a server may echo. */
const CALL_ID = "x-call-id";
/** Time that the sender will wait, in milliseconds. */
const REMAINING_MS = "x-deadline-ms";
/** Id of the backend server that a call is meant for. */
const SERVER_ID = "x-server-id";
/** Set by a server that did not run the call. */
const NOT_RUN = "x-not-run";
/** Set on all answers of a server that is shutting down. */
const LEAVING = "x-leaving";
/** Calls per second that a server accepts from all instances together, while it sends the header. */
const CALL_LIMIT = "x-call-limit";
/** Rejections per second after which a server fails, while it sends the header. */
const REJECTION_LIMIT = "x-rejection-limit";
/** Time for which a server stays cold, in milliseconds. */
const COLD_MS = "x-cold-ms";
const RETRY_AFTER = "retry-after";
const LAST_EVENT_ID = "last-event-id";
/** The caller's key. */
const AUTHORIZATION = "authorization";
/** Team of the call; only the gateway sets it. */
const TEAM = "x-team";
const MISDIRECTED = 421;
const UNAVAILABLE = 503;

/** The gateway's own headers, for deployments that have no other convention. */
export const GATEWAY_HEADER_CODEC: CallHeaderCodec = {
  readCall(headers: RawHeaders): CallFacts {
    const remaining = readHeader(headers, REMAINING_MS);
    const remainingMs = Number(remaining);
    return {
      callId: readHeader(headers, CALL_ID) ?? "",
      host: readHeader(headers, "host") ?? "",
      remainingMs: remaining !== undefined && remainingMs >= 0
        ? remainingMs
        : undefined,
      prompt: undefined,
      lastEventId: readHeader(headers, LAST_EVENT_ID),
      authorization: listHeaders(headers, AUTHORIZATION),
    };
  },

  writeSend(headers: RawHeaders, facts: SendFacts): string[] {
    const kept = pickForwarded(headers, (name) => {
      const isReplaced = name === REMAINING_MS || name === SERVER_ID ||
        name === TEAM || (name === AUTHORIZATION && facts.withholdsKeys) ||
        (name === LAST_EVENT_ID && facts.lastEventId !== undefined);
      return isReplaced || isHopHeader(name) ? "never" : "unless-named";
    });
    kept.push(REMAINING_MS, String(facts.remainingMs));
    kept.push(SERVER_ID, facts.serverName);
    if (facts.lastEventId !== undefined) {
      kept.push(LAST_EVENT_ID, facts.lastEventId);
    }
    if (facts.team !== undefined) kept.push(TEAM, facts.team);
    return kept;
  },

  readAnswer(status: number, headers: RawHeaders): AnswerFacts {
    return {
      callId: readHeader(headers, CALL_ID),
      // These servers do not sign answers; every answer is taken as the server's own.
      isSigned: true,
      isNotExecuted: readHeader(headers, NOT_RUN) !== undefined,
      isMisdirected: status === MISDIRECTED,
      isContentEncoded: false,
      isLeaving: readHeader(headers, LEAVING) !== undefined,
      cooldownMs: status === UNAVAILABLE
        ? parseRetryAfterMs(readHeader(headers, RETRY_AFTER))
        : undefined,
      limitPerSecond: parseAmount(readHeader(headers, CALL_LIMIT)),
      rejectionsPerSecond: parseAmount(readHeader(headers, REJECTION_LIMIT)),
      coldForMs: parseAmount(readHeader(headers, COLD_MS)),
    };
  },
};
