import { Agent, type ClientRequest, request } from "node:http";
import { systemClock } from "../adapters/system_clock.ts";
import { createToken, type Random, waitFor } from "../clock/mod.ts";
import {
  CALL_ID_HEADER,
  REMAINING_HEADER,
} from "../standin/platform_headers.ts";
import type { SentCall } from "./arrival.ts";

/** Host of all calls. */
export const REPEATS_HOST = "repeats.example";
/** First part of the path of calls that may run once. */
export const ONCE_PREFIX = "/once/";
/** Time that a caller allows for a call, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;
/** Pause between the pieces of a body that is sent slowly, in milliseconds. */
const PIECE_PAUSE_MS = 100;
/** Number of those pieces. */
const PIECES = 3;

/** An instance that is called. */
export interface CalledAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** How a call is written to its connection. */
type CallForm = "length" | "chunks" | "pieces" | "query";

const FORMS: readonly CallForm[] = ["length", "chunks", "pieces", "query"];

/** Sends calls that may run once, one at a time, over a connection that it keeps. */
export class RepeatCaller {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly #random: Random;

  /** @param random Source of call ids and of the forms of calls. */
  constructor(random: Random) {
    this.#random = random;
  }

  /** Sends one call, and resolves with its end. */
  async call({ host, name, port }: CalledAddress): Promise<SentCall> {
    const callId = createToken(this.#random);
    const form = FORMS[Math.floor(this.#random.nextFloat() * FORMS.length)]!;
    const sent = request({
      agent: this.#agent,
      host,
      port,
      method: "POST",
      path: `${ONCE_PREFIX}x${form === "query" ? "?q=1" : ""}`,
      headers: {
        host: REPEATS_HOST,
        [CALL_ID_HEADER]: callId,
        [REMAINING_HEADER]: String(CALL_TIMEOUT_MS),
      },
      timeout: CALL_TIMEOUT_MS + 1_000,
    });
    const status = awaitStatus(sent);
    await writeBody(sent, form);
    return { callId, instance: name, status: await status };
  }

  /** Closes the connection. */
  close(): void {
    this.#agent.destroy();
  }
}

function awaitStatus(sent: ClientRequest): Promise<number> {
  return new Promise((resolve) => {
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(0));
    sent.on("close", () => resolve(0));
    sent.on("response", (answer) => {
      answer.on("error", () => resolve(0));
      answer.on("end", () => resolve(answer.statusCode ?? 0));
      answer.resume();
    });
  });
}

async function writeBody(sent: ClientRequest, form: CallForm): Promise<void> {
  switch (form) {
    case "length":
    case "query":
      sent.end("work");
      return;
    case "chunks":
      sent.write("wo");
      sent.end("rk");
      return;
    case "pieces":
      for (let piece = 0; piece < PIECES && !sent.destroyed; piece++) {
        sent.write("work");
        await waitFor(systemClock, PIECE_PAUSE_MS);
      }
      sent.end();
      return;
  }
}
