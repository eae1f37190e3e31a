import { Agent, type IncomingMessage, request } from "node:http";
import { createToken, type Random } from "../clock/mod.ts";
import { MAY_BE_CUT_HEADER } from "../engine/mod.ts";
import { CRASHING_BODY, CRASHING_PART } from "../standin/recording_server.ts";
import {
  CALL_ID_HEADER,
  MODEL_HEADER,
  PROMPT_PARTS_HEADER,
  REMAINING_HEADER,
  SIGNATURE_HEADER,
  TEAM_HEADER,
  TOKEN_COUNTS_HEADER,
} from "../standin/platform_headers.ts";
import type { CallKind, CallOutcome, ObservedCall } from "./observation.ts";

/** Host of all routes that callers use. */
export const SOAK_HOST = "soak.example";
/** Host of which some routes are bound to home regions and others are not. */
export const BOUND_HOST = "bound.soak.example";
/** Team of nearly all calls, and its API key. */
export const STEADY_TEAM = { name: "steady", key: "key-steady" };
/** Team whose API key changes with each configuration version. */
export const ROTATING_TEAM = "rotating";
/** API key that no team holds. */
const UNKNOWN_KEY = "key-strange";

/** Returns the API key of the rotating team in a configuration version. */
export function toRotatingKey(version: number): string {
  return `key-${version}`;
}

/** First part of all prompts. */
const FIRST_PART = "first";
/** Second shared part of all prompts. */
const SUBJECT_PART = "subject";
/** Tokens of each prompt part. */
const PART_TOKENS = 10;
/** Number of the last event that the callers of resumed streams have. */
export const RESUMED_AFTER = 3;
/** Time that a caller allows for a call, in milliseconds. */
const CALL_TIMEOUT_MS = 4_000;

/** Instance that callers call. */
export interface CalledInstance {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** Number of starts of its process. */
  readonly starts: number;
  /** Version of the last configuration that the operator wrote to the store. */
  readonly version: number;
}

/** Constructor arguments of {@linkcode SoakCaller}. */
export interface SoakCallerParts {
  readonly random: Random;
  readonly nowMs: () => number;
  /** Called with each completed call. */
  readonly record: (call: ObservedCall) => void;
}

/** Sends one call at a time to instances, over persistent connections. */
export class SoakCaller {
  readonly #parts: SoakCallerParts;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** @param parts Source of call ids, clock and recorder of calls. */
  constructor(parts: SoakCallerParts) {
    this.#parts = parts;
  }

  /** Sends one call and records its outcome. */
  async call(instance: CalledInstance, kind: CallKind): Promise<ObservedCall> {
    const { nowMs, random, record } = this.#parts;
    const callId = createToken(random);
    const { name, starts } = instance;
    const key = toKey(kind, instance);
    const sentMs = nowMs();
    const end = await this.#send(instance, { callId, kind, key });
    const observed: ObservedCall = {
      callId,
      kind,
      instance: name,
      start: starts,
      key,
      sentMs,
      endedMs: nowMs(),
      end,
    };
    record(observed);
    return observed;
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
  }

  #send(
    { host, port }: CalledInstance,
    { callId, key, kind }: Pick<ObservedCall, "callId" | "key" | "kind">,
  ): Promise<CallOutcome> {
    return new Promise((resolve) => {
      let isConnected = false;
      const sent = request({
        agent: this.#agent,
        host,
        port,
        method: toBody(kind, callId) === "" ? "GET" : "POST",
        path: toPath(kind),
        headers: {
          host: SOAK_HOST,
          [CALL_ID_HEADER]: callId,
          [REMAINING_HEADER]: String(CALL_TIMEOUT_MS),
          authorization: `Bearer ${key}`,
          // Callers must not name their own team: the gateway has to replace this header.
          [TEAM_HEADER]: "forged",
          ...toPromptHeaders(kind, callId),
          ...(kind === "resumed-stream"
            ? { "last-event-id": String(RESUMED_AFTER) }
            : {}),
        },
        timeout: CALL_TIMEOUT_MS + 1_000,
      });
      sent.on("socket", (socket) => {
        isConnected = !socket.connecting;
        if (isConnected) return;
        socket.once("connect", () => {
          isConnected = true;
        });
      });
      sent.on("timeout", () => {
        resolve({ kind: "timed-out" });
        sent.destroy();
      });
      sent.on("error", () =>
        resolve(
          isConnected
            ? { kind: "broken", body: "" }
            : { kind: "not-connected" },
        ));
      sent.on("response", (answer) => void readAnswer(answer).then(resolve));
      sent.end(toBody(kind, callId));
    });
  }
}

/**
 * Returns the API key of a call. A call of the rotating team presents the key of the version
 * before, which is revoked.
 */
function toKey(kind: CallKind, { version }: CalledInstance): string {
  switch (kind) {
    case "rotating":
      return toRotatingKey(Math.max(1, version - 1));
    case "stranger":
      return UNKNOWN_KEY;
    default:
      return STEADY_TEAM.key;
  }
}

/**
 * Returns the path of a call. A call that crashes servers takes an idempotent route, so that it
 * is retried as other calls are.
 */
function toPath(kind: CallKind): string {
  switch (kind) {
    case "ending":
    case "ending-part":
    case "rotating":
    case "stranger":
      return "/idempotent/y";
    case "resumed-stream":
      return "/stream/x";
    default:
      return `/${kind}/x`;
  }
}

/**
 * Returns the headers of a call's prompt. Calls with the part that crashes servers share all
 * other parts but their own last one with calls that have to be served.
 */
function toPromptHeaders(
  kind: CallKind,
  callId: string,
): Readonly<Record<string, string>> {
  const parts = toPromptParts(kind);
  if (parts.length === 0) return {};
  const tokens = [...parts, callId].map((part) => `${part}:${PART_TOKENS}`);
  return {
    [MODEL_HEADER]: "soak-model",
    [TOKEN_COUNTS_HEADER]: `${tokens.length * PART_TOKENS},1`,
    [PROMPT_PARTS_HEADER]: tokens.join(","),
  };
}

function toPromptParts(kind: CallKind): readonly string[] {
  switch (kind) {
    case "ending-part":
      return [FIRST_PART, CRASHING_PART, SUBJECT_PART];
    case "idempotent":
    case "non-idempotent":
    case "stream":
    case "resumed-stream":
    case "single-stream":
      return [FIRST_PART, SUBJECT_PART];
    case "ending":
    case "version":
    case "rotating":
    case "stranger":
      return [];
  }
}

function toBody(kind: CallKind, callId: string): string {
  switch (kind) {
    case "ending":
      return CRASHING_BODY;
    case "ending-part":
      return callId;
    case "non-idempotent":
    case "stream":
    case "resumed-stream":
    case "single-stream":
      return "work";
    case "idempotent":
    case "version":
    case "rotating":
    case "stranger":
      return "";
  }
}

async function readAnswer(answer: IncomingMessage): Promise<CallOutcome> {
  let body = "";
  try {
    for await (const chunk of answer) body += String(chunk);
  } catch {
    return { kind: "broken", body };
  }
  const { headers } = answer;
  const hasMark = headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  const mayBeCut = !hasMark || headers[MAY_BE_CUT_HEADER] !== undefined;
  const isStream = headers["content-type"] === "text/event-stream";
  if (mayBeCut && isStream && !isBetweenEvents(body)) {
    return { kind: "broken", body };
  }
  return {
    kind: "answered",
    status: answer.statusCode ?? 0,
    isSigned: headers[SIGNATURE_HEADER] !== undefined,
    mayBeCut,
    body,
  };
}

function isBetweenEvents(body: string): boolean {
  return body === "" || body.endsWith("\n\n");
}
