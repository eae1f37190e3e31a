import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, waitFor } from "../clock/mod.ts";
import { readBody, sendJson } from "./http_basics.ts";
import { LoopbackServer } from "./loopback_server.ts";

/** Faults of a plain service, which can be set while it runs. */
export interface PlainFaults {
  /** Number of coming calls that are carried out, but whose connection is closed without an answer. */
  loseAnswers: number;
  /** Duration of each call, in milliseconds. */
  latencyMs: number;
}

/** A call that the service has carried out. */
export interface PlainRun {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly attempt: string;
  readonly region: string;
}

/** A stand-in for a plain service. Records every call and answers with the call's sequence number. */
export class PlainServer extends LoopbackServer {
  readonly faults: PlainFaults = { loseAnswers: 0, latencyMs: 0 };
  readonly runs: PlainRun[] = [];
  readonly #clock: Clock;
  readonly #region: string;

  /**
   * @param clock Source of time.
   * @param region Region of the service.
   */
  constructor(clock: Clock, region: string) {
    super();
    this.#clock = clock;
    this.#region = region;
  }

  protected override async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readBody(message)).toString();
    if (message.url === "/control/runs") {
      return sendJson(response, 200, this.runs);
    }
    if (message.url === "/control/faults") {
      Object.assign(this.faults, JSON.parse(body));
      return sendJson(response, 200, this.faults);
    }
    this.runs.push({
      method: message.method ?? "GET",
      path: message.url ?? "/",
      body,
      attempt: String(message.headers["x-attempt-id"] ?? ""),
      region: this.#region,
    });
    const number = this.runs.length;
    if (this.faults.latencyMs > 0) {
      await waitFor(this.#clock, this.faults.latencyMs);
    }
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--;
      message.socket.destroy();
      return;
    }
    sendJson(response, 200, { recorded: number, path: message.url });
  }
}
