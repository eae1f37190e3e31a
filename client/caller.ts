import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { createParser } from "eventsource-parser";
import { isNotSent } from "../adapters/connection_errors.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";

/** What a caller is created from. */
export interface CallerParts {
  /** Base URLs of some entries, to ask for the others. */
  readonly entries: readonly string[];
  readonly token: string;
}

/** Optional parts of a call. */
export interface CallOptions {
  /** HTTP method. Default: `POST`. */
  readonly method?: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  /** Sent as JSON. Default: nothing. */
  readonly body?: unknown;
  /** `interactive`, `normal` or `batch`. Default: `interactive`. */
  readonly priority?: string;
  /** Time until the whole answer, retries included, in milliseconds. Default: 60,000. */
  readonly deadlineMs?: number;
  /** Marks a call that must run at most once; it gets a key, if none is given. Default: `false`. */
  readonly isNonIdempotent?: boolean;
  /** Key of the run, reused for every try. Default: a new one where the call needs one. */
  readonly idempotencyKey?: string;
  /** Session whose prefix an engine may hold. Default: none. */
  readonly session?: string;
  /** Ends the call. Default: none. */
  readonly signal?: AbortSignal;
}

/** How a call ended. */
export interface CallAnswer {
  readonly status: number;
  /** Number of the result code; 0 for an answer. -1: no entry could be reached. */
  readonly code: number;
  /** Whether the work ran. */
  readonly ran: "not-run" | "ran" | "unknown";
  readonly text: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Tries that were made. */
  readonly tries: number;
}

/** One entry of the system. */
interface Entry {
  readonly url: string;
  readonly region: string;
}

const DEFAULT_DEADLINE_MS = 60_000;
const SHORTEST_PAUSE_MS = 50;
const MAX_TRIES = 8;
const LEAVING_CODE = 1205;

/**
 * Calls the system: asks it which entries to use, moves on from one that leaves
 * or is dead, retries only what a result allows, and reuses its key.
 */
export class Caller {
  readonly #parts: CallerParts;
  readonly #agent = new Agent({
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
   * Makes a call, and again elsewhere or later where its result allows that.
   *
   * @param path Such as `/v1/chat/completions` or `/services/NAME/...`.
   * @param options Body, priority, deadline and key.
   */
  async call(path: string, options: CallOptions = {}): Promise<CallAnswer> {
    const startMs = performance.now();
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const leftMs = () => deadlineMs - (performance.now() - startMs);
    await this.#refreshEntries();
    const key = options.idempotencyKey ??
      (options.isNonIdempotent ? this.#createKey() : undefined);
    let at = 0;
    let last = createUnreachable("no try was made", 0);
    for (let tries = 1; tries <= MAX_TRIES && leftMs() > 0; tries++) {
      const entry = this.#entries[at % this.#entries.length]!;
      const sent = await this.#send(entry, path, {
        options,
        key,
        leftMs: leftMs(),
      });
      last = { ...sent.answer, tries };
      switch (decideNext(sent, options, key)) {
        case "end":
          return last;
        case "elsewhere":
          at++;
          if (last.code === LEAVING_CODE) await this.#refreshEntries(true);
          break;
        case "later":
          await waitFor(
            systemClock,
            Math.min(sent.retryAfterMs, Math.max(0, leftMs())),
          );
          break;
      }
    }
    return last;
  }

  /**
   * Streams an answer; yields the data of each event, `[DONE]` excluded.
   *
   * @param path Such as `/v1/chat/completions`.
   * @param options Body and priority; `stream` is set in the body.
   * @throws {Error} If it was refused, or broke: with the numbered error as its message.
   */
  async *stream(
    path: string,
    options: CallOptions = {},
  ): AsyncGenerator<string> {
    const body = { ...(options.body as Record<string, unknown>), stream: true };
    const answer = await this.#open(path, { ...options, body });
    const ready: string[] = [];
    const parser = createParser({ onEvent: ({ data }) => ready.push(data) });
    const decoder = new TextDecoder();
    for await (const chunk of answer) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
      for (const data of ready.splice(0)) {
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

  /** A stream may be opened anew until its first byte; from then on the system keeps it whole. */
  async #open(
    path: string,
    options: CallOptions,
  ): Promise<AsyncIterable<unknown>> {
    await this.#refreshEntries();
    let last = "no try was made";
    for (const entry of this.#entries.slice(0, MAX_TRIES)) {
      try {
        const response = await request(entry.url + path, {
          method: "POST",
          headers: this.#createHeaders(options, undefined, options.deadlineMs),
          body: JSON.stringify(options.body),
          dispatcher: this.#agent,
          ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        if (response.statusCode === 200) return response.body;
        last = await response.body.text();
        const isElsewhere = last.includes('"retry":"elsewhere"') &&
          last.includes('"ran":"not-run"');
        if (!isElsewhere) break;
      } catch (error) {
        if (options.signal?.aborted) throw error;
        const { message } = error as Error;
        last = message;
        if (!isNotSent(error)) break;
      }
    }
    throw new Error(last);
  }

  async #send(
    entry: Entry,
    path: string,
    call: {
      readonly options: CallOptions;
      readonly key: string | undefined;
      readonly leftMs: number;
    },
  ): Promise<SentCall> {
    const { options, key } = call;
    try {
      const response = await request(entry.url + path, {
        method: options.method ?? "POST",
        headers: this.#createHeaders(options, key, call.leftMs),
        ...(options.body === undefined
          ? {}
          : { body: JSON.stringify(options.body) }),
        dispatcher: this.#agent,
        signal: AbortSignal.any([
          AbortSignal.timeout(Math.ceil(call.leftMs) + 1_000),
          ...(options.signal === undefined ? [] : [options.signal]),
        ]),
      });
      const text = await response.body.text();
      const code = Number(response.headers["x-result-code"] ?? "0");
      const ran = String(
        response.headers["x-ran"] ?? "ran",
      ) as CallAnswer["ran"];
      const { status, headers } = {
        status: response.statusCode,
        headers: response.headers,
      };
      const details = code === 0 ? undefined : readError(text);
      return {
        answer: { status, code, ran, text, headers, tries: 1 },
        retry: details?.retry ?? "never",
        retryAfterMs: details?.retry_after_ms ?? SHORTEST_PAUSE_MS,
        isSent: true,
      };
    } catch (error) {
      const { message } = error as Error;
      const isSent = !isNotSent(error);
      return {
        answer: {
          ...createUnreachable(message, 1),
          ran: isSent ? "unknown" : "not-run",
        },
        retry: options.signal?.aborted ? "never" : "elsewhere",
        retryAfterMs: SHORTEST_PAUSE_MS,
        isSent,
      };
    }
  }

  #createHeaders(
    options: CallOptions,
    key: string | undefined,
    leftMs: number | undefined,
  ): Record<string, string> {
    return {
      "authorization": `Bearer ${this.#parts.token}`,
      "content-type": "application/json",
      "x-priority": options.priority ?? "interactive",
      ...(leftMs === undefined
        ? {}
        : { "x-deadline-ms": String(Math.max(1, Math.floor(leftMs))) }),
      ...(options.isNonIdempotent ? { "x-non-idempotent": "true" } : {}),
      ...(key === undefined ? {} : { "idempotency-key": key }),
      ...(options.session === undefined
        ? {}
        : { "x-session": options.session }),
    };
  }

  /** The key names the region of the first entry, where its journal is then kept near. */
  #createKey(): string {
    const region = this.#entries[0]?.region ?? "";
    return region === "" ? randomUUID() : `${region}~${randomUUID()}`;
  }

  async #refreshEntries(isForced = false): Promise<void> {
    if (!isForced && performance.now() < this.#expiresMs) return;
    const known = [
      ...this.#entries.map(({ url }) => url),
      ...this.#parts.entries,
    ];
    for (const url of new Set(known)) {
      try {
        const response = await request(`${url}/v1/entries`, {
          headers: { authorization: `Bearer ${this.#parts.token}` },
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(2_000),
        });
        const text = await response.body.text();
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
        // This entry is away: the next one may know.
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

/** What may have run is repeated only if it is idempotent, or under its key. */
function decideNext(
  sent: SentCall,
  options: CallOptions,
  key: string | undefined,
): "end" | "elsewhere" | "later" {
  const { answer, retry } = sent;
  if (answer.code === 0 || retry === "never") return "end";
  const method = options.method ?? "POST";
  const isPlainPost = method === "POST" && options.isNonIdempotent !== true &&
    key === undefined;
  const mayRepeat = answer.ran === "not-run" || key !== undefined ||
    (!options.isNonIdempotent &&
      (method !== "POST" || isPlainPost && isModelBody(options.body)));
  return mayRepeat ? retry : "end";
}

/** Calls of models are idempotent unless they are marked. */
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

function createUnreachable(message: string, tries: number): CallAnswer {
  return {
    status: 0,
    code: -1,
    ran: "not-run",
    text: message,
    headers: {},
    tries,
  };
}
