import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { resetConnection } from "../adapters/reset_connection.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { type Random, waitFor } from "../clock/mod.ts";
import { awaitAnswer, readBody } from "../standin/http_basics.ts";
import {
  CALL_ID_HEADER,
  EXPECTED_SERVER_HEADER,
  NOT_EXECUTED_HEADER,
  SIGNATURE_HEADER,
} from "../standin/platform_headers.ts";
import type { Arrival, ArrivalKind } from "./arrival.ts";

/** How servers answer falsely. Each happens to a share of the calls. */
export const ANSWER_FAULTS = [
  /** A copy of a refusal follows on its connection, late. */
  "copied-refusals",
  /** A 421 that names no call arrives before the answer of a call that runs. */
  "unnamed-refusals",
  /** The connection of a call that runs is reset. */
  "resets",
  /** A call that runs is never answered. */
  "lost-answers",
  /** A call is rejected as if the server were full. */
  "rejections",
] as const;

/** One of {@linkcode ANSWER_FAULTS}. */
export type AnswerFault = typeof ANSWER_FAULTS[number];

/** Constructor arguments of an {@linkcode ArrivalServer}. */
export interface ArrivalServerParts {
  readonly id: string;
  readonly faults: ReadonlySet<AnswerFault>;
  readonly random: Random;
  readonly record: (arrival: Arrival) => void;
}

/** Share of the calls to which each fault happens. */
const FAULT_SHARE = 0.2;
/** Range of the time from the start of a run to its answer, in milliseconds. */
const MIN_WORK_MS = 5;
const MAX_WORK_MS = 60;
/** Maximum delay of a copy that does not wait for the next call, in milliseconds. */
const MAX_COPY_DELAY_MS = 20;
/** Refusal that names no call. */
const UNNAMED_REFUSAL = formatRefusal(421, {});

/** Number of connections that all servers have accepted. */
let connectionCount = 0;

/** A server of a plain service that records each call that arrives, on which connection. */
export class ArrivalServer {
  /** Whether all work stands still. */
  isStill = false;
  readonly #parts: ArrivalServerParts;
  readonly #numbers = new Map<Socket, number>();
  /** Copies of refusals that are sent when the next call arrives on a connection. */
  readonly #copies = new Map<Socket, string>();
  #server: Server | undefined;

  /** @param parts Identity, faults and recorder. */
  constructor(parts: ArrivalServerParts) {
    this.#parts = parts;
  }

  /** Id of the server, which its entry has. */
  get id(): string {
    return this.#parts.id;
  }

  /**
   * Listens on loopback.
   *
   * @param port Port; 0 picks a free one.
   * @returns Port that the server listens on.
   */
  async open(port: number): Promise<number> {
    const server = createServer((request, response) => {
      void awaitAnswer(response, this.#answer(request, response));
    });
    server.on("connection", (socket) => {
      this.#numbers.set(socket, ++connectionCount);
      socket.on("error", () => {/* a caller that is killed resets it */});
      socket.on("close", () => {
        this.#numbers.delete(socket);
        this.#copies.delete(socket);
      });
    });
    this.#server = server;
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    return (server.address() as AddressInfo).port;
  }

  /** Stops listening and resets all connections. Resolves when the port is free. */
  async crash(): Promise<void> {
    const closed = once(this.#server!, "close");
    this.#server!.close();
    this.#numbers.forEach((_, socket) => resetConnection(socket));
    await closed;
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    const callId = String(request.headers[CALL_ID_HEADER] ?? "");
    const expected = request.headers[EXPECTED_SERVER_HEADER];
    await readBody(request);
    this.#sendCopy(socket);
    if (expected !== undefined && expected !== this.id) {
      this.#record(socket, callId, "misdirected");
      this.#refuse(response, callId, 421);
      return;
    }
    if (this.#draw("rejections")) {
      this.#record(socket, callId, "rejected");
      this.#refuse(response, callId, 503);
      return;
    }
    this.#record(socket, callId, "ran");
    if (this.#draw("unnamed-refusals")) socket.write(UNNAMED_REFUSAL);
    await this.#work();
    if (this.#draw("resets")) resetConnection(socket);
    else if (!this.#draw("lost-answers")) {
      response.writeHead(200, {
        [CALL_ID_HEADER]: callId,
        [SIGNATURE_HEADER]: "signed",
      });
      response.end(callId);
    }
  }

  async #work(): Promise<void> {
    const { random } = this.#parts;
    const range = MAX_WORK_MS - MIN_WORK_MS;
    do {
      await waitFor(systemClock, MIN_WORK_MS + range * random.nextFloat());
    } while (this.isStill);
  }

  /** Refuses a call with its own id, and may send the same refusal once more, late. */
  #refuse(response: ServerResponse, callId: string, status: number): void {
    const { socket } = response.req;
    const headers = { [CALL_ID_HEADER]: callId };
    response.writeHead(status, { ...headers, [NOT_EXECUTED_HEADER]: "1" });
    response.end();
    if (!this.#draw("copied-refusals")) return;
    this.#copies.set(socket, formatRefusal(status, headers));
    if (this.#parts.random.nextFloat() < 0.5) return;
    const delayMs = MAX_COPY_DELAY_MS * this.#parts.random.nextFloat();
    void waitFor(systemClock, delayMs).then(() => this.#sendCopy(socket));
  }

  #sendCopy(socket: Socket): void {
    const copy = this.#copies.get(socket);
    this.#copies.delete(socket);
    if (copy !== undefined && socket.writable) socket.write(copy);
  }

  #record(socket: Socket, callId: string, kind: ArrivalKind): void {
    this.#parts.record({
      callId,
      kind,
      server: this.id,
      connection: this.#numbers.get(socket) ?? 0,
      atMs: systemClock.nowMs(),
    });
  }

  #draw(fault: AnswerFault): boolean {
    const { faults, random } = this.#parts;
    return faults.has(fault) && random.nextFloat() < FAULT_SHARE;
  }
}

/** Returns the bytes of a refusal. */
function formatRefusal(
  status: number,
  headers: Readonly<Record<string, string>>,
): string {
  return [
    `HTTP/1.1 ${status} Refused`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `${NOT_EXECUTED_HEADER}: 1`,
    "Content-Length: 0",
    "\r\n",
  ].join("\r\n");
}
