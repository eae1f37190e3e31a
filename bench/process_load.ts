import { Agent, request } from "node:http";
import {
  CALL_ID_HEADER,
  MODEL_HEADER,
  PROMPT_PARTS_HEADER,
  REMAINING_HEADER,
  TOKEN_COUNTS_HEADER,
} from "../standin/platform_headers.ts";
import { EVENT_COUNT_HEADER } from "./process_servers.ts";

/** Host that all routes of the benchmark belong to. */
export const BENCH_HOST = "app.example";

/** A kind of call. */
interface LoadKind {
  readonly path: string;
  /** Number of events in the answer; 0: one body. */
  readonly events: number;
  readonly bodyBytes: number;
  /** Tokens of the prompt parts that calls share, and of the call's own; `undefined`: no prompt. */
  readonly prompt?: {
    readonly shared: readonly number[];
    readonly own: number;
    readonly output: number;
  };
}

/** Load on one instance. */
export interface InstanceLoad {
  readonly host: string;
  readonly port: number;
  /** Calls per second. */
  readonly rate: number;
  readonly durationMs: number;
  /** Delay of all calls, in milliseconds, so that instances do not get calls at the same time. */
  readonly offsetMs: number;
  /** Events of a long stream. */
  readonly streamEvents: number;
}

/** How the calls of a load were answered. */
export interface LoadCounts {
  /** Calls with a complete answer and status 200. */
  readonly complete: number;
  readonly failed: number;
}

/** Timeout of calls, in milliseconds. */
const TIMEOUT_MS = 10_000;

/** Sends calls to an instance over persistent connections, each at its planned time. */
export async function runInstanceLoad(load: InstanceLoad): Promise<LoadCounts> {
  const kinds: readonly LoadKind[] = [
    {
      path: "/long/x",
      events: load.streamEvents,
      bodyBytes: 8_000,
      prompt: { shared: [2_000, 3_382], own: 6_610, output: 480 },
    },
    {
      path: "/short/x",
      events: 3,
      bodyBytes: 1_500,
      prompt: { shared: [568], own: 1_800, output: 30 },
    },
    { path: "/plain/x", events: 0, bodyBytes: 300 },
  ];
  const agent = new Agent({ keepAlive: true });
  const startMs = performance.now() + load.offsetMs;
  const count = Math.floor(load.rate * load.durationMs / 1_000);
  const results = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const dueMs = startMs + 1_000 * index / load.rate;
      await new Promise((resolve) =>
        setTimeout(resolve, dueMs - performance.now())
      );
      const kind = kinds[index % kinds.length]!;
      return await sendCall(agent, load, { kind, id: `${load.host}-${index}` });
    }),
  );
  agent.destroy();
  const complete = results.filter((isComplete) => isComplete).length;
  return { complete, failed: count - complete };
}

/** Sends one call, and returns whether it was answered completely. */
function sendCall(
  agent: Agent,
  { host, port }: InstanceLoad,
  { id, kind }: { readonly id: string; readonly kind: LoadKind },
): Promise<boolean> {
  const { bodyBytes, events, path, prompt } = kind;
  const body = Buffer.alloc(bodyBytes, id);
  return new Promise((resolve) => {
    const sent = request({
      agent,
      host,
      port,
      path,
      method: "POST",
      timeout: TIMEOUT_MS,
      headers: {
        host: BENCH_HOST,
        "content-type": "application/json",
        "content-length": String(body.length),
        [CALL_ID_HEADER]: id,
        [REMAINING_HEADER]: String(TIMEOUT_MS),
        ...(events > 0 ? { [EVENT_COUNT_HEADER]: String(events) } : {}),
        ...(prompt === undefined ? {} : {
          [MODEL_HEADER]: "bench-model",
          [TOKEN_COUNTS_HEADER]: [
            prompt.shared.reduce((sum, tokens) => sum + tokens, prompt.own),
            prompt.output,
          ].join(),
          [PROMPT_PARTS_HEADER]: [
            ...prompt.shared.map((tokens) => `${path}-${tokens}:${tokens}`),
            `${id}:${prompt.own}`,
          ].join(),
        }),
      },
    });
    sent.on("response", (answer) => {
      answer.resume();
      answer.on(
        "close",
        () => resolve(answer.complete && answer.statusCode === 200),
      );
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(false));
    sent.end(body);
  });
}
