import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { readAnswerText } from "../adapters/read_answer.ts";
import { RESULT_CODES } from "../results/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Failure of a request to the resource API. */
export interface OperatorFailure {
  /** One of `EXIT_CODES`. */
  readonly exitCode: number;
  readonly message: string;
}

/** What the client is created from. */
export interface OperatorClientParts {
  /** Base URLs of daemons, tried in this order until one answers. */
  readonly servers: readonly string[];
  readonly token: string;
}

const TIMEOUT_MS = 10_000;
/** Maximum length of an event of a stream, in characters. */
const MAX_EVENT_LENGTH = 4_194_304;

/** Client of the resource API. */
export class OperatorClient {
  readonly #parts: OperatorClientParts;

  /** @param parts Base URLs and token. */
  constructor(parts: OperatorClientParts) {
    this.#parts = parts;
  }

  /**
   * Makes one request. The next daemon is tried only if the request was not sent
   * (connection refused) or is a GET, so that no change is applied twice.
   *
   * @param method HTTP method.
   * @param path Path with query.
   * @param body Sent as JSON. Default: none.
   * @returns The parsed answer, or the failure.
   */
  async call<T>(
    method: "GET" | "PUT" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<Result<T, OperatorFailure>> {
    let lastError = "no server was given";
    for (const server of this.#parts.servers) {
      try {
        const response = await request(server + path, {
          method,
          headers: {
            "authorization": `Bearer ${this.#parts.token}`,
            "content-type": "application/json",
          },
          ...(body === undefined ? {} : { body: JSON.stringify(body) }),
          signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        const text = await readAnswerText(response.body);
        if (response.statusCode < 300) return ok(JSON.parse(text) as T);
        return err(toFailure(response.statusCode, text));
      } catch (error) {
        lastError = `${server}: ${(error as Error).message}`;
        const isNotSent =
          (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
        if (!isNotSent && method !== "GET") break;
      }
    }
    return err({
      exitCode: EXIT_CODES.UNREACHABLE,
      message: `Cannot reach a daemon: ${lastError}`,
    });
  }

  /** Calls back with the data of each event of a stream until the stream ends. */
  async follow(path: string, onData: (data: string) => void): Promise<void> {
    const response = await request(this.#parts.servers[0]! + path, {
      headers: { authorization: `Bearer ${this.#parts.token}` },
      bodyTimeout: 0,
    });
    const decoder = new TextDecoder();
    let text = "";
    for await (const chunk of response.body) {
      text += decoder.decode(chunk as Buffer, { stream: true });
      const events = text.split("\n\n");
      text = events.pop() ?? "";
      if (text.length > MAX_EVENT_LENGTH) {
        throw new Error(
          `Cannot follow ${path}: an event is over ${MAX_EVENT_LENGTH} characters`,
        );
      }
      events.flatMap((event) => event.split("\n"))
        .filter((line) => line.startsWith("data: "))
        .forEach((line) => onData(line.slice("data: ".length)));
    }
  }
}

function toFailure(status: number, text: string): OperatorFailure {
  try {
    const { error } = JSON.parse(text) as {
      readonly error: {
        readonly code: number;
        readonly type: string;
        readonly message: string;
      };
    };
    const exitCode = error.code === RESULT_CODES.CONFLICT.code
      ? EXIT_CODES.CONFLICT
      : EXIT_CODES.REFUSED;
    return {
      exitCode,
      message: `${error.code} ${error.type}: ${error.message}`,
    };
  } catch {
    return {
      exitCode: EXIT_CODES.REFUSED,
      message: `Got status ${status}: ${text.slice(0, 200)}`,
    };
  }
}
