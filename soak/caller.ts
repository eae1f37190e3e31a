import { Agent, type IncomingMessage, request } from "node:http";
import { createToken, type Random } from "../clock/mod.ts";
import { ENDING_BODY } from "../standin/recording_server.ts";
import {
  CALL_ID_HEADER,
  REMAINING_HEADER,
  SIGNATURE_HEADER,
} from "../standin/platform_headers.ts";
import type { CallEnd, CallKind, SeenCall } from "./observation.ts";

/** Host of all routes that callers use. */
export const SOAK_HOST = "soak.example";
/** Host of which some calls are bound to regions and others not. */
export const BOUND_HOST = "bound.soak.example";
/** Time that a caller waits for an answer, in milliseconds. */
const PATIENCE_MS = 4_000;

/** An instance as callers know it. */
export interface CalledInstance {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** How often its process was started. */
  readonly starts: number;
}

/** What a caller is created from. */
export interface SoakCallerParts {
  readonly random: Random;
  readonly nowMs: () => number;
  readonly record: (call: SeenCall) => void;
}

/** Calls instances over connections that it keeps, one call at a time. */
export class SoakCaller {
  readonly #parts: SoakCallerParts;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** @param parts Source of ids and who hears of each call. */
  constructor(parts: SoakCallerParts) {
    this.#parts = parts;
  }

  /** Makes one call and records how it ended. */
  async call(instance: CalledInstance, kind: CallKind): Promise<SeenCall> {
    const { nowMs, random, record } = this.#parts;
    const callId = createToken(random);
    const { name, starts } = instance;
    const sentMs = nowMs();
    const end = await this.#ask(instance, kind, callId);
    const seen: SeenCall = {
      callId,
      kind,
      instance: name,
      start: starts,
      sentMs,
      endedMs: nowMs(),
      end,
    };
    record(seen);
    return seen;
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
  }

  #ask(
    { host, port }: CalledInstance,
    kind: CallKind,
    callId: string,
  ): Promise<CallEnd> {
    return new Promise((resolve) => {
      let isConnected = false;
      const sent = request({
        agent: this.#agent,
        host,
        port,
        method: kind === "idempotent" || kind === "version" ? "GET" : "POST",
        path: toPath(kind),
        headers: {
          host: SOAK_HOST,
          [CALL_ID_HEADER]: callId,
          [REMAINING_HEADER]: String(PATIENCE_MS),
        },
        timeout: PATIENCE_MS + 1_000,
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
      sent.end(toBody(kind));
    });
  }
}

/** A call that is to end servers is repeated like any other that may be. */
function toPath(kind: CallKind): string {
  return kind === "ending" ? "/idempotent/y" : `/${kind}/x`;
}

function toBody(kind: CallKind): string {
  switch (kind) {
    case "ending":
      return ENDING_BODY;
    case "non-idempotent":
    case "stream":
      return "work";
    case "idempotent":
    case "version":
      return "";
  }
}

async function readAnswer(answer: IncomingMessage): Promise<CallEnd> {
  let body = "";
  try {
    for await (const chunk of answer) body += String(chunk);
  } catch {
    return { kind: "broken", body };
  }
  return {
    kind: "answered",
    status: answer.statusCode ?? 0,
    isSigned: answer.headers[SIGNATURE_HEADER] !== undefined,
    body,
  };
}
