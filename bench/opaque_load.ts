import { parentPort } from "node:worker_threads";
import { Agent, request } from "undici";
import {
  CALL_ID_HEADER,
  REMAINING_HEADER,
} from "../standin/platform_headers.ts";

/** A round of calls that the load thread runs on request. */
export interface OpaqueRound {
  readonly url: string;
  /** Calls per second. */
  readonly rate: number;
  readonly durationMs: number;
  readonly bodyBytes: number;
}

const agent = new Agent({ connections: 64 });
let callId = 0;

parentPort?.on("message", (round: OpaqueRound) => {
  void runRound(round).then((completeCount) =>
    parentPort?.postMessage(completeCount)
  );
});

/**
 * Runs a round in open loop: each call starts at its planned time. Returns the
 * number of calls that were answered completely with status 200.
 */
async function runRound(round: OpaqueRound): Promise<number> {
  const { bodyBytes, durationMs, rate, url } = round;
  const startMs = performance.now();
  const body = bodyBytes === 0 ? null : Buffer.alloc(bodyBytes, "b");
  const calls = Array.from(
    { length: Math.floor((rate * durationMs) / 1_000) },
    async (_, index) => {
      const dueMs = startMs + (index * 1_000) / rate;
      await new Promise((resolve) =>
        setTimeout(resolve, dueMs - performance.now())
      );
      const response = await request(url, {
        method: body === null ? "GET" : "POST",
        headers: {
          host: "app.example",
          [CALL_ID_HEADER]: String(++callId),
          [REMAINING_HEADER]: "5000",
        },
        body,
        dispatcher: agent,
      });
      await response.body.text();
      return response.statusCode === 200 ? 1 : 0;
    },
  );
  const results: number[] = await Promise.all(calls);
  return results.reduce((sum, each) => sum + each, 0);
}
