import type { IncomingMessage, ServerResponse } from "node:http";
import { createHash } from "node:crypto";
import type { Clock } from "../clock/mod.ts";
import type { EngineOrder, EngineState } from "../engine/mod.ts";
import {
  type AnswerPlan,
  type AnswerRequest,
  createWord,
  planAnswer,
} from "./answer_text.ts";
import { EngineCore, type EngineSpeed } from "./engine_core.ts";
import { readBody, sendJson } from "./http_basics.ts";
import { LoopbackServer } from "./loopback_server.ts";

/** Faults of an engine, which can be set while it runs. */
export interface EngineFaults {
  /** Refuse requests with the information that they did not run. */
  refuse: boolean;
  /** Start the run of a request, then close the connection without an answer. */
  acceptThenDie: boolean;
  /** Number of tokens after which a stream is interrupted; applies to streams that start later. */
  breakAfterTokens: number | undefined;
  /** Number of streams that are still to be interrupted. */
  breaksLeft: number;
  /** Refuse to resume streams. */
  refuseResume: boolean;
  /** Send events late, twice, out of order, and mixed with those of another stream. */
  scramble: boolean;
  /** Let each load of a model version fail. */
  failLoads: boolean;
}

/** Constructor arguments of {@linkcode EngineServer}. */
export interface EngineServerParts {
  readonly clock: Clock;
  readonly speed: EngineSpeed;
  readonly region: string;
  /** Whether orders with an old fencing token are refused. */
  readonly checksFencing: boolean;
  /** Port; 0 picks a free one. */
  readonly port: number;
  /** Duration of loading a model version, in milliseconds. Default: 200. */
  readonly loadMs?: number;
}

/** A run that an engine has started. */
export interface EngineRun {
  readonly attempt: string;
  /** Hash of the question. */
  readonly key: string;
  readonly region: string;
}

interface StreamRecord {
  readonly attempt: string;
  readonly plan: AnswerPlan;
  readonly events: string[];
  isEnded: boolean;
  readonly listeners: Set<() => void>;
  /** Index of the event before which the stream is interrupted; `undefined`: never. */
  breakAtIndex: number | undefined;
}

const PRIORITY_RANKS: Readonly<Record<string, number>> = {
  interactive: 0,
  normal: 1,
  batch: 2,
};
const MAX_STREAM_RECORDS = 2_000;
const DEFAULT_LOAD_MS = 200;

/** A stand-in for a model engine that serves HTTP. */
export class EngineServer extends LoopbackServer {
  readonly faults: EngineFaults = {
    refuse: false,
    acceptThenDie: false,
    breakAfterTokens: undefined,
    breaksLeft: 0,
    refuseResume: false,
    scramble: false,
    failLoads: false,
  };
  /** All runs since the start. */
  readonly runs: EngineRun[] = [];
  /** Accepted orders, with their fencing tokens. */
  readonly orders: EngineOrder[] = [];
  /** Attempts whose streams were cancelled. */
  readonly cancelled: string[] = [];
  readonly core: EngineCore;
  readonly #parts: EngineServerParts;
  readonly #streams = new Map<string, StreamRecord>();
  #state: EngineState = {
    version: undefined,
    loading: undefined,
    orderId: undefined,
    failure: undefined,
  };
  #highestFencingToken = 0;

  /** @param parts Clock, speed, region and port. */
  constructor(parts: EngineServerParts) {
    super();
    this.#parts = parts;
    this.core = new EngineCore(parts.clock, parts.speed);
  }

  /** Model version that the engine serves, and the state of the latest load. */
  get state(): EngineState {
    return this.#state;
  }

  override async start(): Promise<void> {
    await super.start(this.#parts.port);
  }

  override async crash(): Promise<void> {
    this.core.reset();
    await super.crash();
  }

  protected override async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = (message.url ?? "/").split("?")[0]!;
    const stream = /^\/v1\/streams\/([^/]+)$/.exec(path)?.[1];
    if (stream !== undefined && message.method === "GET") {
      return this.#resume(stream, message, response);
    }
    if (stream !== undefined && message.method === "DELETE") {
      return this.#cancel(stream, response);
    }
    switch (`${message.method} ${path}`) {
      case "POST /v1/chat/completions":
      case "POST /v1/completions":
        return await this.#complete(message, response);
      case "GET /load":
        return sendJson(response, 200, this.core.readLoad());
      case "GET /control/runs":
        return sendJson(response, 200, this.runs);
      case "GET /control/state":
        return sendJson(response, 200, this.#state);
      case "POST /control/order":
        return await this.#acceptOrder(message, response);
      case "POST /control/faults":
        Object.assign(
          this.faults,
          JSON.parse((await readBody(message)).toString()),
        );
        return sendJson(response, 200, this.faults);
      default:
        return sendJson(response, 404, { error: { message: "not found" } });
    }
  }

  async #complete(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse((await readBody(message)).toString()) as
      & AnswerRequest
      & { readonly stream?: boolean; readonly model: string };
    if (this.faults.refuse) {
      response.setHeader("x-ran", "not-run");
      response.setHeader("x-attempt-id", message.headers["x-attempt-id"] ?? "");
      response.setHeader("retry-after", "1");
      return sendJson(response, 503, { error: { message: "refused" } });
    }
    const attempt = String(
      message.headers["x-attempt-id"] ?? `local-${this.runs.length}`,
    );
    const record = this.#startRun(
      attempt,
      body,
      String(message.headers["x-priority"] ?? ""),
    );
    if (this.faults.acceptThenDie) {
      message.socket.destroy();
      return;
    }
    const load = this.core.readLoad();
    response.setHeader(
      "x-engine-load",
      [load.running, load.queued, load.queuedTokens, Math.round(load.lagMs)]
        .join(","),
    );
    if (body.stream === true) return this.#sendEvents(record, -1, response);
    response.on("close", () => {
      if (!response.writableFinished) this.core.cancel(attempt);
    });
    await this.#waitForEnd(record);
    const text = Array.from(
      { length: record.plan.tokens },
      (_, index) => createWord(record.plan, index),
    ).join("");
    sendJson(response, 200, createCompletion(attempt, body, text));
  }

  #startRun(
    attempt: string,
    body: AnswerRequest & { readonly model: string },
    priority: string,
  ): StreamRecord {
    const plan = planAnswer(body);
    const willBreak = this.faults.breakAfterTokens !== undefined &&
      this.faults.breaksLeft > 0;
    if (willBreak) this.faults.breaksLeft--;
    const record: StreamRecord = {
      attempt,
      plan,
      events: [],
      isEnded: false,
      listeners: new Set(),
      breakAtIndex: willBreak ? this.faults.breakAfterTokens : undefined,
    };
    this.runs.push({ attempt, key: plan.seed, region: this.#parts.region });
    this.#streams.set(attempt, record);
    if (this.#streams.size > MAX_STREAM_RECORDS) {
      this.#streams.delete(this.#streams.keys().next().value!);
    }
    const prompt = JSON.stringify(body.messages ?? body.prompt);
    const append = (data: string) => {
      record.events.push(data);
      record.listeners.forEach((listener) => listener());
    };
    this.core.submit({
      id: attempt,
      promptTokens: Math.ceil(prompt.length / 4),
      prefix: createHash("sha1").update(prompt.slice(0, 1_024)).digest("hex"),
      prefixTokens: Math.min(256, Math.ceil(prompt.length / 4)),
      outputTokens: plan.tokens,
      rank: PRIORITY_RANKS[priority] ?? 1,
      onToken: (index) =>
        append(createChunk(attempt, body, createWord(plan, index))),
      onEnd: () => {
        append(createChunk(attempt, body, undefined));
        record.isEnded = true;
        append("[DONE]");
      },
    });
    return record;
  }

  #resume(
    attempt: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): void {
    const record = this.#streams.get(attempt);
    if (record === undefined || this.faults.refuseResume) {
      return sendJson(response, 404, { error: { message: "no such stream" } });
    }
    record.breakAtIndex = undefined;
    const lastId = String(message.headers["last-event-id"] ?? `${attempt}/-1`);
    this.#sendEvents(
      record,
      Number(lastId.slice(lastId.lastIndexOf("/") + 1)),
      response,
    );
  }

  #cancel(attempt: string, response: ServerResponse): void {
    this.core.cancel(attempt);
    this.cancelled.push(attempt);
    sendJson(response, 200, {});
  }

  #sendEvents(
    record: StreamRecord,
    afterIndex: number,
    response: ServerResponse,
  ): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    let next = afterIndex + 1;
    const write = (index: number, attempt = record.attempt) =>
      response.write(
        `id: ${attempt}/${index}\ndata: ${record.events[index]}\n\n`,
      );
    const send = () => {
      while (next < record.events.length) {
        if (record.breakAtIndex !== undefined && next >= record.breakAtIndex) {
          record.listeners.delete(send);
          response.destroy();
          return;
        }
        if (this.faults.scramble) next = scramble(record, next, write);
        else write(next++);
      }
      if (!record.isEnded || next < record.events.length) return;
      record.listeners.delete(send);
      response.end();
    };
    record.listeners.add(send);
    response.on("close", () => record.listeners.delete(send));
    send();
  }

  #waitForEnd(record: StreamRecord): Promise<void> {
    if (record.isEnded) return Promise.resolve();
    return new Promise((resolve) => {
      const listener = () => {
        if (!record.isEnded) return;
        record.listeners.delete(listener);
        resolve();
      };
      record.listeners.add(listener);
    });
  }

  async #acceptOrder(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = JSON.parse(
      (await readBody(message)).toString(),
    ) as EngineOrder;
    if (
      this.#parts.checksFencing &&
      order.fencingToken < this.#highestFencingToken
    ) {
      return sendJson(response, 412, {
        error: { message: "an old fencing token" },
      });
    }
    this.#highestFencingToken = Math.max(
      this.#highestFencingToken,
      order.fencingToken,
    );
    this.orders.push(order);
    this.#state = {
      ...this.#state,
      loading: order.version,
      orderId: order.orderId,
      failure: undefined,
      ...(order.version === undefined ? { version: undefined } : {}),
    };
    this.#parts.clock.schedule(this.#parts.loadMs ?? DEFAULT_LOAD_MS, () => {
      if (this.#state.orderId !== order.orderId) return;
      this.#state = this.faults.failLoads
        ? { ...this.#state, loading: undefined, failure: "the load failed" }
        : { ...this.#state, loading: undefined, version: order.version };
    });
    sendJson(response, 200, {});
  }
}

/**
 * Sends the event at an index under the id of another stream, then this event twice,
 * with the event after it sent first.
 *
 * @returns Index of the event to go on with.
 */
function scramble(
  record: StreamRecord,
  next: number,
  write: (index: number, attempt?: string) => void,
): number {
  write(next, "foreign");
  const hasPair = next + 1 < record.events.length &&
    record.events[next + 1] !== "[DONE]";
  if (!hasPair) {
    write(next);
    if (record.events[next] !== "[DONE]") write(next);
    return next + 1;
  }
  write(next + 1);
  write(next);
  write(next);
  return next + 2;
}

function createChunk(
  attempt: string,
  body: AnswerRequest & { readonly model: string },
  text: string | undefined,
): string {
  const finishReason = text === undefined ? "stop" : null;
  const isChat = body.messages !== undefined;
  const choice = isChat
    ? {
      index: 0,
      delta: text === undefined ? {} : { content: text },
      finish_reason: finishReason,
    }
    : { index: 0, text: text ?? "", finish_reason: finishReason };
  return JSON.stringify({
    id: `cmpl-${attempt}`,
    object: isChat ? "chat.completion.chunk" : "text_completion",
    created: 0,
    model: body.model,
    choices: [choice],
  });
}

function createCompletion(
  attempt: string,
  body: AnswerRequest & { readonly model: string },
  text: string,
): unknown {
  const isChat = body.messages !== undefined;
  const tokens = text.split(" ").length - 1;
  return {
    id: `cmpl-${attempt}`,
    object: isChat ? "chat.completion" : "text_completion",
    created: 0,
    model: body.model,
    choices: [
      isChat
        ? {
          index: 0,
          message: { role: "assistant", content: text },
          finish_reason: "stop",
        }
        : { index: 0, text, finish_reason: "stop" },
    ],
    usage: {
      prompt_tokens: 0,
      completion_tokens: tokens,
      total_tokens: tokens,
    },
  };
}
