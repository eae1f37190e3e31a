import {
  isConnectionClosedError,
  isNotSentError,
} from "./connection_errors.ts";
import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import { type Agent, type Dispatcher, request } from "undici";
import {
  ATTEMPT_ID_HEADER,
  type BackendAnswer,
  type BackendCall,
  type BackendClient,
  type DispatchFailure,
  END_OF_STREAM,
  type EngineLoad,
  type EngineOrder,
  type EngineState,
  MAY_BE_CUT_HEADER,
  type OrderFailure,
  type StreamEvent,
} from "../engine/mod.ts";
import { readAnswerFraming } from "../forwarding/mod.ts";
import type { AttemptId } from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import { toRawHeaders } from "./raw_headers.ts";
import { type AnswerBody, readAnswer, readWholeLines } from "./read_answer.ts";
import { createResetCheckingAgent } from "./reset_checking_agent.ts";

/** Options of an {@linkcode HttpBackendClient}. */
export interface HttpBackendOptions {
  /** Certificates of trusted authorities, as PEM text. Default: those of the platform. */
  readonly authorities?: string;
}

const CONNECT_TIMEOUT_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 5_000;
/** Maximum length of an event of a stream, in characters. */
const MAX_EVENT_LENGTH = 4_194_304;
/**
 * Maximum number of bytes of an answer that are read ahead of its caller. Each piece of them
 * takes some 150 bytes more.
 */
const MAX_UNREAD_BYTES = 4_096;
/** Size up to which an answer is not counted among the long ones, in bytes. */
const SHORT_ANSWER_BYTES = 1_048_576;
/** Maximum size of all long answers that are read at a time, beyond that, in bytes. */
const MAX_LONG_ANSWERS_BYTES = 134_217_728;
/** Maximum size of what follows the terminal event of a stream and is read, in bytes. */
const MAX_DRAINED_BYTES = 65_536;
/** Maximum time to read what follows the terminal event of a stream, in milliseconds. */
const MAX_DRAIN_MS = 500;
/** Status by which an engine rejects an order with an outdated fencing token. */
const FENCED_STATUS = 412;
/**
 * Headers with the id of a request, one of which a refusal has to repeat. All attempts of a request
 * have one request id, so that of the attempt decides where the refusal has one.
 */
const REQUEST_ID_HEADERS = [ATTEMPT_ID_HEADER, "x-request-id"];
/** Headers that concern one connection only, and are not passed on to the caller. */
const HOP_BY_HOP_HEADERS = [
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  MAY_BE_CUT_HEADER,
];

/** Calls backend servers over HTTP, and reads streams as server-sent events. */
export class HttpBackendClient implements BackendClient {
  readonly #agent: Agent;
  /** Bytes that long answers have so far. */
  #longAnswersBytes = 0;

  /** @param options Certificates of trusted authorities. */
  constructor(options: HttpBackendOptions = {}) {
    this.#agent = createResetCheckingAgent({
      connect: {
        timeout: CONNECT_TIMEOUT_MS,
        ...(options.authorities === undefined
          ? {}
          : { ca: options.authorities }),
      },
      connections: null,
      pipelining: 1,
      keepAliveTimeout: 30_000,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async dispatch(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, DispatchFailure>> {
    return await this.#send(call.server.url + call.path, {
      method: call.method as Dispatcher.HttpMethod,
      headers: { ...call.headers },
      body: call.body ?? null,
      signal,
    });
  }

  async resume(
    server: BackendServer,
    attempt: AttemptId,
    options: { readonly afterIndex: number; readonly signal: AbortSignal },
  ): Promise<Result<BackendAnswer, DispatchFailure>> {
    const answer = await this.#send(`${server.url}/v1/streams/${attempt}`, {
      method: "GET",
      headers: { "last-event-id": `${attempt}/${options.afterIndex}` },
      signal: options.signal,
    });
    if (answer.isOk() && answer.value.kind === "whole") {
      return err({
        kind: "broken",
        message: `Cannot resume: got ${answer.value.status}`,
      });
    }
    return answer;
  }

  async cancel(server: BackendServer, attempt: AttemptId): Promise<void> {
    await this.#readJson(`${server.url}/v1/streams/${attempt}`, {
      method: "DELETE",
    });
  }

  async readLoad(
    server: BackendServer,
    signal: AbortSignal,
  ): Promise<Result<EngineLoad, DispatchFailure>> {
    return await this.#readJson<EngineLoad>(`${server.url}/load`, {
      method: "GET",
      signal,
    });
  }

  async order(
    server: BackendServer,
    order: EngineOrder,
  ): Promise<Result<void, OrderFailure>> {
    const answer = await this.#send(`${server.url}/control/order`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    if (answer.isErr()) {
      return err({ kind: "unreachable", message: answer.error.message });
    }
    const status = answer.value.kind === "whole" ? answer.value.status : 200;
    if (status === FENCED_STATUS) {
      return err({
        kind: "fenced",
        message: "Engine rejected the order: old fencing token",
      });
    }
    if (status >= 300) {
      return err({
        kind: "unreachable",
        message: `Cannot order the engine: got status ${status}`,
      });
    }
    return ok(undefined);
  }

  async readState(
    server: BackendServer,
  ): Promise<Result<EngineState, DispatchFailure>> {
    return await this.#readJson<EngineState>(`${server.url}/control/state`, {
      method: "GET",
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    url: string,
    options: SendOptions,
  ): Promise<Result<BackendAnswer, DispatchFailure>> {
    try {
      const response = await request(url, {
        ...options,
        dispatcher: this.#agent,
        highWaterMark: MAX_UNREAD_BYTES,
      });
      const headers = joinHeaderValues(response.headers);
      const load = parseLoad(headers["x-engine-load"]);
      const isStream =
        headers["content-type"]?.startsWith("text/event-stream") ?? false;
      if (isStream) {
        return ok({ kind: "stream", events: readEvents(response.body), load });
      }
      const body = new Uint8Array(
        await readAnswer(this.#countLongAnswer(response.body)),
      );
      const isUnframed = hasNoFraming(options.method, response);
      const isJson = isJsonType(headers["content-type"]);
      if (isUnframed && isJson && !isWholeJson(body)) {
        return err({
          kind: "broken",
          message: "The connection ended within the JSON of the answer",
          isClosed: true,
        });
      }
      if (headers["x-ran"] === "not-run" && response.statusCode >= 400) {
        if (!isNamedIn(headers, options.headers ?? {})) {
          return err({
            kind: "broken",
            message: `The refusal ${response.statusCode} names no request`,
          });
        }
        const retryAfterMs = Number(headers["retry-after"] ?? "1") * 1_000;
        const text = Buffer.from(body).toString("utf8").slice(0, 500);
        return err({
          kind: "refused",
          message: `The server refused with ${response.statusCode}: ${text}`,
          retryAfterMs,
        });
      }
      return ok({
        kind: "whole",
        status: response.statusCode,
        headers: removeHopByHopHeaders(headers),
        body,
        mayBeCut: headers[MAY_BE_CUT_HEADER] !== undefined ||
          isUnframed && !isJson,
        load,
      });
    } catch (error) {
      return err(toFailure(error));
    }
  }

  /** Yields the pieces of a body, and fails if the long answers together are too long. */
  async *#countLongAnswer(body: AnswerBody): AsyncGenerator<Buffer> {
    let sizeBytes = 0;
    let countedBytes = 0;
    try {
      for await (const piece of body) {
        sizeBytes += piece.length;
        const longBytes = Math.max(0, sizeBytes - SHORT_ANSWER_BYTES);
        const addedBytes = longBytes - countedBytes;
        if (this.#longAnswersBytes + addedBytes > MAX_LONG_ANSWERS_BYTES) {
          throw new Error(
            `Cannot read the answer: long ones are over ${MAX_LONG_ANSWERS_BYTES} bytes together`,
          );
        }
        this.#longAnswersBytes += addedBytes;
        countedBytes = longBytes;
        yield piece;
      }
    } finally {
      this.#longAnswersBytes -= countedBytes;
    }
  }

  async #readJson<T>(
    url: string,
    options: {
      readonly method: Dispatcher.HttpMethod;
      readonly signal?: AbortSignal;
    },
  ): Promise<Result<T, DispatchFailure>> {
    const signal = options.signal ?? AbortSignal.timeout(CALL_TIMEOUT_MS);
    const answer = await this.#send(url, { ...options, signal });
    if (answer.isErr()) return err(answer.error);
    const whole = answer.value;
    if (whole.kind !== "whole" || whole.status !== 200) {
      return err({
        kind: "broken",
        message: `Cannot read ${url}: unexpected answer`,
      });
    }
    try {
      return ok(JSON.parse(Buffer.from(whole.body).toString("utf8")) as T);
    } catch {
      return err({ kind: "broken", message: `Cannot read ${url}: not JSON` });
    }
  }
}

interface SendOptions {
  readonly method: Dispatcher.HttpMethod;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array | null;
  readonly signal: AbortSignal;
}

/**
 * Yields the events of a stream. After its terminal event, the rest of the body is
 * read to its end, so that the connection can be reused, unless it is long or slow. A
 * stream that is abandoned earlier is closed.
 */
async function* readEvents(
  body: Dispatcher.ResponseData["body"],
): AsyncGenerator<StreamEvent> {
  const parsedEvents: StreamEvent[] = [];
  let hasEnded = false;
  const parser = createParser({
    maxBufferSize: MAX_EVENT_LENGTH,
    onError: (error) => {
      if (error.type === "max-buffer-size-exceeded") throw error;
    },
    onEvent: ({ id, data }) => {
      const at = id?.lastIndexOf("/") ?? -1;
      if (id === undefined || at < 0) return;
      if (data === END_OF_STREAM) hasEnded = true;
      parsedEvents.push({
        attempt: id.slice(0, at),
        index: Number(id.slice(at + 1)),
        data,
      });
    },
  });
  const decoder = new TextDecoder();
  try {
    const pieces = body.iterator({ destroyOnReturn: false });
    for await (const lines of readWholeLines(pieces)) {
      parser.feed(decoder.decode(lines, { stream: true }));
      yield* parsedEvents.splice(0);
    }
  } finally {
    if (!body.destroyed) {
      if (hasEnded) {
        const signal = AbortSignal.timeout(MAX_DRAIN_MS);
        void body.dump({ limit: MAX_DRAINED_BYTES, signal }).catch(() => {});
      } else body.destroy();
    }
  }
}

/** Returns whether an answer repeats an id of its request. A late one may be that of an earlier request. */
function isNamedIn(
  answer: Readonly<Record<string, string>>,
  request: Readonly<Record<string, string>>,
): boolean {
  const name = REQUEST_ID_HEADERS.find((each) =>
    request[each] !== undefined && answer[each] !== undefined
  );
  return name !== undefined && request[name] === answer[name];
}

/** Returns whether only the end of the connection ended the body of an answer. */
function hasNoFraming(
  method: Dispatcher.HttpMethod,
  { headers, statusCode }: Dispatcher.ResponseData,
): boolean {
  const answer = { status: statusCode, headers: toRawHeaders(headers) };
  return readAnswerFraming(method, answer) === "connection";
}

/** Returns whether a body of this type is one JSON value, of which no part is JSON. */
function isJsonType(contentType = ""): boolean {
  const name = contentType.split(";")[0]!.trim().toLowerCase();
  return name === "application/json" || name.endsWith("+json");
}

function isWholeJson(body: Uint8Array): boolean {
  try {
    JSON.parse(Buffer.from(body).toString("utf8"));
    return true;
  } catch {
    return false;
  }
}

function joinHeaderValues(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined
        ? []
        : [[name, Array.isArray(value) ? value.join(", ") : value]]
    ),
  );
}

function removeHopByHopHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) =>
      !HOP_BY_HOP_HEADERS.includes(name)
    ),
  );
}

function parseLoad(text: string | undefined): EngineLoad | undefined {
  const [running, queued, queuedTokens, lagMs] = (text ?? "").split(",").map(
    Number,
  );
  const isComplete = [running, queued, queuedTokens, lagMs].every(
    Number.isFinite,
  );
  if (text === undefined || !isComplete) return undefined;
  return {
    running: running!,
    queued: queued!,
    queuedTokens: queuedTokens!,
    lagMs: lagMs!,
  };
}

function toFailure(error: unknown): DispatchFailure {
  const message = (error as Error).message || String(error);
  return isNotSentError(error)
    ? { kind: "not-sent", message }
    : { kind: "broken", message, isClosed: isConnectionClosedError(error) };
}
