import { randomUUID } from "node:crypto";
import { request } from "undici";
import { createParser } from "eventsource-parser";
import { callWithTimeout } from "../adapters/call_with_timeout.ts";
import { isNotSentError } from "../adapters/connection_errors.ts";
import { readAnswerText } from "../adapters/read_answer.ts";
import { createResetCheckingAgent } from "../adapters/reset_checking_agent.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { ATTEMPT_ID_HEADER } from "../engine/mod.ts";

/** Entries and token of a {@linkcode Caller}. */
export interface CallerParts {
  /** Base URLs of at least one entry; the caller asks these for all entries. */
  readonly entries: readonly string[];
  /** Token that authenticates the caller. */
  readonly token: string;
}

/** Options of a call. */
export interface CallOptions {
  /** HTTP method. Default: `POST`. */
  readonly method?: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  /** Body, sent as JSON. Default: no body. */
  readonly body?: unknown;
  /** `interactive`, `normal` or `batch`. Default: `interactive`. */
  readonly priority?: string;
  /** Maximum time until the complete answer, including retries, in milliseconds. Default: 60,000. */
  readonly deadlineMs?: number;
  /**
   * Whether the call must run at most once; the caller creates an idempotency key if
   * none is given. Default: `false`.
   */
  readonly isNonIdempotent?: boolean;
  /** Idempotency key, sent with every try. Default: a new one if the call needs one. */
  readonly idempotencyKey?: string;
  /** Session whose prompt prefix an engine may have cached. Default: none. */
  readonly session?: string;
  /** Signal that aborts the call. Default: none. */
  readonly signal?: AbortSignal;
}

/** Outcome of a call. */
export interface CallAnswer {
  readonly status: number;
  /** Result code; 0 for an answer of the server, -1 if no entry gave an answer. */
  readonly code: number;
  /** Whether the work of the call ran. */
  readonly ran: "not-run" | "ran" | "unknown";
  /** Body of the answer, or the message of the failure. */
  readonly text: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Number of tries that were made. */
  readonly tries: number;
}

/** Address for callers, and the region of its instance. */
interface Entry {
  readonly url: string;
  readonly region: string;
}

const DEFAULT_DEADLINE_MS = 60_000;
/** Delay before a retry if the answer names none, in milliseconds. */
const DEFAULT_RETRY_DELAY_MS = 50;
const MAX_TRIES = 8;
/** Maximum length of an event of a stream, in characters. */
const MAX_EVENT_LENGTH = 4_194_304;
/** Result code of an instance that shuts down. */
const LEAVING_CODE = 1205;

/**
 * Client of the gateway. It reads the list of entries from the gateway, and switches to
 * another entry if one is leaving or dead. It retries a call only if the result allows
 * it, and with the same idempotency key.
 */
export class Caller {
  readonly #parts: CallerParts;
  readonly #agent = createResetCheckingAgent({
    connect: { timeout: 1_000 },
    bodyTimeout: 0,
    headersTimeout: 0,
  });
  #entries: readonly Entry[];
  #expiresMs = 0;

  /** @param parts Entries and token. */
  constructor(parts: CallerParts) {
    this.#parts = parts;
    this.#entries = parts.entries.map((url) => ({ url, region: "" }));
  }

  /**
   * Makes a call. Retries it at another entry or later if its result allows that.
   *
   * @param path Path, such as `/v1/chat/completions` or `/services/NAME/...`.
   * @param options Body, priority, deadline and key.
   */
  async call(path: string, options: CallOptions = {}): Promise<CallAnswer> {
    const startMs = performance.now();
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const getRemainingMs = () => deadlineMs - (performance.now() - startMs);
    await this.#refreshEntries();
    const key = options.idempotencyKey ??
      (options.isNonIdempotent ? this.#createKey() : undefined);
    let entryIndex = 0;
    let answer = createUnreachableAnswer("No request was sent", 0);
    for (let tries = 1; tries <= MAX_TRIES && getRemainingMs() > 0; tries++) {
      const entry = this.#entries[entryIndex % this.#entries.length]!;
      const sent = await this.#send(entry, path, {
        options,
        key,
        remainingMs: getRemainingMs(),
      });
      answer = { ...sent.answer, tries };
      switch (decideNextStep(sent, options, key)) {
        case "end":
          return answer;
        case "elsewhere":
          entryIndex++;
          if (answer.code === LEAVING_CODE) await this.#refreshEntries(true);
          break;
        case "later":
          await waitFor(
            systemClock,
            Math.min(sent.retryAfterMs, Math.max(0, getRemainingMs())),
          );
          break;
      }
    }
    return answer;
  }

  /**
   * Yields the data of each event of a streamed answer, except for `[DONE]`.
   *
   * @param path Path, such as `/v1/chat/completions`.
   * @param options Body and priority; the body is sent with `stream` set to `true`.
   * @throws {Error} If the call is refused or the stream is interrupted. The message
   * contains the error with its result code, if the gateway sent one.
   */
  async *stream(
    path: string,
    options: CallOptions = {},
  ): AsyncGenerator<string> {
    const body = { ...(options.body as Record<string, unknown>), stream: true };
    const answer = await this.#open(path, { ...options, body });
    const parsedEvents: string[] = [];
    const parser = createParser({
      maxBufferSize: MAX_EVENT_LENGTH,
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") throw error;
      },
      onEvent: ({ data }) => parsedEvents.push(data),
    });
    const decoder = new TextDecoder();
    for await (const chunk of answer) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
      for (const data of parsedEvents.splice(0)) {
        if (data === "[DONE]") return;
        if (data.startsWith('{"error"')) throw new Error(data);
        yield data;
      }
    }
    throw new Error("The stream ended without its terminal event");
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /**
   * Opens a stream. Tries other entries only until the first byte of an answer: from
   * then on, the gateway resumes an interrupted stream.
   */
  async #open(
    path: string,
    options: CallOptions,
  ): Promise<AsyncIterable<unknown>> {
    await this.#refreshEntries();
    let lastError = "No request was sent";
    for (const entry of this.#entries.slice(0, MAX_TRIES)) {
      const attempt = randomUUID();
      try {
        const response = await request(entry.url + path, {
          method: "POST",
          headers: {
            ...this.#createHeaders(options, undefined, options.deadlineMs),
            [ATTEMPT_ID_HEADER]: attempt,
          },
          body: JSON.stringify(options.body),
          headersTimeout: options.deadlineMs ?? DEFAULT_DEADLINE_MS,
          dispatcher: this.#agent,
          ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        if (response.statusCode === 200) return response.body;
        lastError = await readAnswerText(response.body);
        const canRetryElsewhere = lastError.includes('"retry":"elsewhere"') &&
          readRan(response.headers, attempt) === "not-run";
        if (!canRetryElsewhere) break;
      } catch (error) {
        if (options.signal?.aborted) throw error;
        const { message } = error as Error;
        lastError = message;
        if (!isNotSentError(error)) break;
      }
    }
    throw new Error(lastError);
  }

  /**
   * Sends a call once. Only an answer that repeats the id of this try shows that it has not run:
   * another one may be a late answer to an earlier request on the connection.
   */
  async #send(
    entry: Entry,
    path: string,
    call: {
      readonly options: CallOptions;
      readonly key: string | undefined;
      readonly remainingMs: number;
    },
  ): Promise<SentCall> {
    const { options, key } = call;
    const attempt = randomUUID();
    try {
      const bounds = {
        signal: options.signal,
        timeoutMs: Math.ceil(call.remainingMs) + 1_000,
      };
      const { response, text } = await callWithTimeout(
        bounds,
        async (signal) => {
          const response = await request(entry.url + path, {
            method: options.method ?? "POST",
            headers: {
              ...this.#createHeaders(options, key, call.remainingMs),
              [ATTEMPT_ID_HEADER]: attempt,
            },
            ...(options.body === undefined
              ? {}
              : { body: JSON.stringify(options.body) }),
            dispatcher: this.#agent,
            signal,
          });
          return { response, text: await readAnswerText(response.body) };
        },
      );
      const code = Number(response.headers["x-result-code"] ?? "0");
      const ran = readRan(response.headers, attempt);
      const { status, headers } = {
        status: response.statusCode,
        headers: response.headers,
      };
      const details = code === 0 ? undefined : readError(text);
      return {
        answer: { status, code, ran, text, headers, tries: 1 },
        retry: details?.retry ?? "never",
        retryAfterMs: details?.retry_after_ms ?? DEFAULT_RETRY_DELAY_MS,
        isSent: true,
      };
    } catch (error) {
      const { message } = error as Error;
      const isSent = !isNotSentError(error);
      return {
        answer: {
          ...createUnreachableAnswer(message, 1),
          ran: isSent ? "unknown" : "not-run",
        },
        retry: options.signal?.aborted ? "never" : "elsewhere",
        retryAfterMs: DEFAULT_RETRY_DELAY_MS,
        isSent,
      };
    }
  }

  #createHeaders(
    options: CallOptions,
    key: string | undefined,
    remainingMs: number | undefined,
  ): Record<string, string> {
    return {
      "authorization": `Bearer ${this.#parts.token}`,
      "content-type": "application/json",
      "x-priority": options.priority ?? "interactive",
      ...(remainingMs === undefined
        ? {}
        : { "x-deadline-ms": String(Math.max(1, Math.floor(remainingMs))) }),
      ...(options.isNonIdempotent ? { "x-non-idempotent": "true" } : {}),
      ...(key === undefined ? {} : { "idempotency-key": key }),
      ...(options.session === undefined
        ? {}
        : { "x-session": options.session }),
    };
  }

  /**
   * Creates an idempotency key. It names the region of the first entry, so that the
   * journal of the call is stored close to that entry.
   */
  #createKey(): string {
    const region = this.#entries[0]?.region ?? "";
    return region === "" ? randomUUID() : `${region}~${randomUUID()}`;
  }

  async #refreshEntries(isForced = false): Promise<void> {
    if (!isForced && performance.now() < this.#expiresMs) return;
    const urls = [
      ...this.#entries.map(({ url }) => url),
      ...this.#parts.entries,
    ];
    for (const url of new Set(urls)) {
      try {
        const response = await request(`${url}/v1/entries`, {
          headers: { authorization: `Bearer ${this.#parts.token}` },
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(2_000),
        });
        const text = await readAnswerText(response.body);
        if (response.statusCode !== 200) continue;
        const list = JSON.parse(text) as {
          readonly entries: readonly Entry[];
          readonly lifetime_ms: number;
        };
        if (list.entries.length === 0) continue;
        this.#entries = list.entries;
        this.#expiresMs = performance.now() + list.lifetime_ms;
        return;
      } catch {
        // This entry is unavailable: the next one may have the list.
      }
    }
  }
}

interface SentCall {
  readonly answer: CallAnswer;
  readonly retry: "never" | "later" | "elsewhere";
  readonly retryAfterMs: number;
  readonly isSent: boolean;
}

/**
 * Returns whether a call ends here, or where it is retried. A call that may have run is
 * retried only if it is idempotent or has a key.
 */
function decideNextStep(
  sent: SentCall,
  options: CallOptions,
  key: string | undefined,
): "end" | "elsewhere" | "later" {
  const { answer, retry } = sent;
  if (answer.code === 0 || retry === "never") return "end";
  const method = options.method ?? "POST";
  const isPlainPost = method === "POST" && options.isNonIdempotent !== true &&
    key === undefined;
  const mayRetry = answer.ran === "not-run" || key !== undefined ||
    (!options.isNonIdempotent &&
      (method !== "POST" || isPlainPost && isModelBody(options.body)));
  return mayRetry ? retry : "end";
}

/** Returns what an answer says of whether its call ran. */
function readRan(
  headers: CallAnswer["headers"],
  attempt: string,
): CallAnswer["ran"] {
  const ran = String(headers["x-ran"] ?? "ran") as CallAnswer["ran"];
  const isOwn = headers[ATTEMPT_ID_HEADER] === attempt;
  return ran === "not-run" && !isOwn ? "unknown" : ran;
}

/** Returns whether a body is that of a model call; these are idempotent unless marked. */
function isModelBody(body: unknown): boolean {
  return typeof body === "object" && body !== null && "model" in body;
}

function readError(
  text: string,
):
  | { readonly retry: SentCall["retry"]; readonly retry_after_ms?: number }
  | undefined {
  try {
    return (JSON.parse(text) as {
      readonly error: { readonly retry: SentCall["retry"] };
    }).error;
  } catch {
    return undefined;
  }
}

function createUnreachableAnswer(message: string, tries: number): CallAnswer {
  return {
    status: 0,
    code: -1,
    ran: "not-run",
    text: message,
    headers: {},
    tries,
  };
}
