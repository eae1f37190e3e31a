import { callWithTimeout } from "./call_with_timeout.ts";
import { isNotSentError } from "./connection_errors.ts";
import {
  MAX_ANSWER_BYTES,
  readAnswerText,
  readWholeLines,
} from "./read_answer.ts";
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import {
  MAX_VALUE_BYTES,
  type Store,
  type StoreEntry,
  type StoreEvent,
  type StoreFailure,
  type StoreResult,
  type Swap,
  type SwapOutcome,
} from "../store/mod.ts";

interface KeyValue {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision?: string;
}

interface WatchMessage {
  readonly result?: {
    readonly events?: readonly {
      readonly type?: "PUT" | "DELETE";
      readonly kv: KeyValue;
    }[];
  };
}

const CALL_TIMEOUT_MS = 5_000;
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Client of the platform's key-value service, over the JSON form of etcd's v3 API.
 * It uses only single-key compare-and-swap, reads, leases and watches.
 */
export class EtcdStore implements Store {
  readonly #baseUrl: string;
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    bodyTimeout: 0,
    keepAliveTimeout: 60_000,
  });

  /** @param baseUrl Base URL of the service, such as `http://127.0.0.1:2379`. */
  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  async read(key: string): StoreResult<StoreEntry | undefined> {
    const answer = await this.#post<{ readonly kvs?: readonly KeyValue[] }>(
      "/v3/kv/range",
      {
        key: encode(key),
      },
    );
    return answer.map(({ kvs }) => kvs?.[0] && toEntry(kvs[0]));
  }

  async readPrefix(prefix: string): StoreResult<readonly StoreEntry[]> {
    const answer = await this.#post<{ readonly kvs?: readonly KeyValue[] }>(
      "/v3/kv/range",
      {
        key: encode(prefix),
        range_end: encodeRangeEnd(prefix),
        sort_order: "ASCEND",
        sort_target: "KEY",
      },
    );
    return answer.map(({ kvs }) => (kvs ?? []).map(toEntry));
  }

  async swap(swap: Swap): StoreResult<SwapOutcome> {
    const key = encode(swap.key);
    if (Buffer.byteLength(swap.value ?? "") > MAX_VALUE_BYTES) {
      return err({
        kind: "too-large",
        message: `Cannot write ${swap.key}: value over the limit`,
      });
    }
    const operation = swap.value === undefined
      ? { request_delete_range: { key } }
      : {
        request_put: {
          key,
          value: encode(swap.value),
          lease: swap.leaseId ?? "0",
        },
      };
    const answer = await this.#post<TransactionAnswer>("/v3/kv/txn", {
      compare: [{
        key,
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(swap.expectedRevision),
      }],
      success: [operation],
      failure: [],
    });
    return answer.map(({ succeeded, header }) =>
      succeeded === true
        ? { kind: "written", revision: Number(header?.revision ?? 0) }
        : { kind: "conflict" }
    );
  }

  async grantLease(ttlMs: number): StoreResult<string> {
    const answer = await this.#post<{ readonly ID: string }>(
      "/v3/lease/grant",
      {
        TTL: String(Math.max(1, Math.ceil(ttlMs / 1_000))),
      },
    );
    return answer.map(({ ID }) => ID);
  }

  async renewLease(leaseId: string): StoreResult<boolean> {
    const answer = await this.#post<
      { readonly result?: { readonly TTL?: string } }
    >(
      "/v3/lease/keepalive",
      { ID: leaseId },
    );
    return answer.map(({ result }) => Number(result?.TTL ?? 0) > 0);
  }

  async revokeLease(leaseId: string): StoreResult<void> {
    const answer = await this.#post("/v3/lease/revoke", { ID: leaseId });
    return answer.map(() => undefined);
  }

  async *watch(prefix: string, signal: AbortSignal): AsyncIterable<StoreEvent> {
    const body = JSON.stringify({
      create_request: {
        key: encode(prefix),
        range_end: encodeRangeEnd(prefix),
      },
    });
    try {
      const response = await request(`${this.#baseUrl}/v3/watch`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body,
        signal,
        dispatcher: this.#agent,
      });
      for await (
        const bytes of readWholeLines(response.body, MAX_ANSWER_BYTES)
      ) {
        const lines = bytes.toString("utf8").split("\n");
        yield* lines.filter((line) => line !== "").flatMap(parseWatchLine);
      }
    } catch {
      // A failed watch ends without an error: its watcher reads the prefix again.
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #post<T>(
    path: string,
    body: unknown,
  ): Promise<Result<T, StoreFailure>> {
    try {
      const bounds = { timeoutMs: CALL_TIMEOUT_MS };
      const { response, text } = await callWithTimeout(
        bounds,
        async (signal) => {
          const response = await request(this.#baseUrl + path, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            dispatcher: this.#agent,
            signal,
          });
          return { response, text: await readAnswerText(response.body) };
        },
      );
      if (response.statusCode === 200) return ok(JSON.parse(text) as T);
      const message = `Cannot call the store: got ${response.statusCode}`;
      return err({
        kind: response.statusCode === 503 ? "unavailable" : "unknown",
        message,
      });
    } catch (error) {
      const { message } = error as Error;
      return err({
        kind: isNotSentError(error) ? "unavailable" : "unknown",
        message,
      });
    }
  }
}

interface TransactionAnswer {
  readonly succeeded?: boolean;
  readonly header?: { readonly revision?: string };
}

function encode(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/** Returns the first key after all keys with a prefix, in base64. */
function encodeRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, "utf8");
  bytes[bytes.length - 1]! += 1;
  return bytes.toString("base64");
}

function toEntry({ key, value, mod_revision }: KeyValue): StoreEntry {
  return {
    key: Buffer.from(key, "base64").toString("utf8"),
    value: Buffer.from(value ?? "", "base64").toString("utf8"),
    revision: Number(mod_revision ?? 0),
  };
}

function parseWatchLine(line: string): readonly StoreEvent[] {
  const { result } = JSON.parse(line) as WatchMessage;
  return (result?.events ?? []).map(({ type, kv }) => ({
    ...toEntry(kv),
    value: type === "DELETE" ? undefined : toEntry(kv).value,
  }));
}
