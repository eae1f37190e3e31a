import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import {
  CALL_ID_HEADER,
  EXPECTED_SERVER_HEADER,
  LEAVING_HEADER,
  LIMIT_HEADER,
  NOT_EXECUTED_HEADER,
  SIGNATURE_HEADER,
  TEAM_HEADER,
} from "./platform_headers.ts";
import { readBody } from "./http_basics.ts";

/** How a server misbehaves. */
export type ServerTrouble =
  | "none"
  /** Takes calls and never answers. */
  | "hang"
  /** Answers with an error of its own, after the work. */
  | "fail"
  /** Breaks off in the middle of its answers. */
  | "break-off"
  /** Turns all calls away, and asks for rest. */
  | "rest";

/** Body of a call under which a server ends that runs it. */
export const ENDING_BODY = "ends the server";

/** A call that a server began to work on. */
export interface RecordedRun {
  readonly callId: string;
  readonly server: string;
  readonly service: string;
  readonly atMs: number;
  /** The event that it went on after; `undefined`: from the start. */
  readonly resumedAfter: number | undefined;
  /** Whether the server ends of it. */
  readonly isEnding: boolean;
  /** Team that the gateway says; `undefined`: none, or several. */
  readonly team: string | undefined;
  /** Whether the caller's key came with it. */
  readonly hasKey: boolean;
}

/** A call that a server turned away as it asked for rest. */
export interface RecordedRefusal {
  readonly server: string;
  readonly atMs: number;
}

/** What a recording server is started with. */
export interface RecordingServerParts {
  readonly id: string;
  readonly service: string;
  readonly nowMs: () => number;
  readonly record: (run: RecordedRun) => void;
  readonly recordRefusal: (refusal: RecordedRefusal) => void;
  /** Called when it has ended of a call. */
  readonly onEnded: () => void;
}

/** Rest that a server asks for, in seconds. */
export const REST_S = 3;
/** Work of a call without a stream, in milliseconds. */
const WORK_MS = 25;
/** Events of a stream, and the pause between them in milliseconds. */
export const STREAM_EVENTS = 12;
const EVENT_PAUSE_MS = 20;

/** Returns the body that a server gives to a call without a stream. */
export function createRecordedBody(callId: string, service: string): string {
  return JSON.stringify({ callId, service, filler: "x".repeat(600) });
}

/** A backend server that records each call that it runs. */
export class RecordingServer {
  trouble: ServerTrouble = "none";
  /** Whether its answers say that it leaves. */
  saysItLeaves = false;
  /** Calls a second that its answers name as its limit; `undefined`: none. */
  limitPerSecond: number | undefined;
  readonly #parts: RecordingServerParts;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;

  /** @param parts Identity and who hears of runs. */
  constructor(parts: RecordingServerParts) {
    this.#parts = parts;
  }

  get id(): string {
    return this.#parts.id;
  }

  get service(): string {
    return this.#parts.service;
  }

  /**
   * Listens on loopback.
   *
   * @param port Port; 0 takes a free one.
   * @returns The port.
   */
  async open(port = 0): Promise<number> {
    const server = createServer((request, response) => {
      // A caller that leaves ends its call here; the runs are recorded.
      this.#answer(request, response).catch(() => response.destroy());
    });
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#server = server;
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    return (server.address() as AddressInfo).port;
  }

  /** Ends at once, as a crash does. */
  crash(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { id, nowMs, record, service } = this.#parts;
    const callId = String(request.headers[CALL_ID_HEADER] ?? "");
    const expected = request.headers[EXPECTED_SERVER_HEADER];
    const isEnding = (await readBody(request)).toString() === ENDING_BODY;
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        [CALL_ID_HEADER]: callId,
        [NOT_EXECUTED_HEADER]: "1",
      });
      response.end();
      return;
    }
    if (this.trouble === "rest") {
      this.#refuse(response, callId);
      return;
    }
    const lastId = request.headers["last-event-id"];
    const resumedAfter = lastId === undefined ? undefined : Number(lastId);
    const atMs = nowMs();
    const teams = request.headersDistinct[TEAM_HEADER] ?? [];
    record({
      callId,
      server: id,
      service,
      atMs,
      resumedAfter,
      isEnding,
      team: teams.length === 1 ? teams[0] : undefined,
      hasKey: request.headers.authorization !== undefined,
    });
    await waitFor(systemClock, WORK_MS);
    if (isEnding) {
      this.crash();
      this.#parts.onEnded();
      return;
    }
    if (this.trouble === "hang") return;
    const head = {
      [CALL_ID_HEADER]: callId,
      [SIGNATURE_HEADER]: "signed",
      ...(this.saysItLeaves ? { [LEAVING_HEADER]: "1" } : {}),
      ...(this.limitPerSecond === undefined
        ? {}
        : { [LIMIT_HEADER]: String(this.limitPerSecond) }),
    };
    if (this.trouble === "fail") {
      response.writeHead(500, head);
      response.end("failed");
    } else if (request.url?.startsWith("/stream")) {
      await this.#stream(response, head, callId, resumedAfter ?? 0);
    } else this.#sendBody(response, head, callId);
  }

  #refuse(response: ServerResponse, callId: string): void {
    const { id, nowMs, recordRefusal } = this.#parts;
    recordRefusal({ server: id, atMs: nowMs() });
    response.writeHead(503, {
      [CALL_ID_HEADER]: callId,
      [NOT_EXECUTED_HEADER]: "1",
      "retry-after": String(REST_S),
    });
    response.end();
  }

  #sendBody(
    response: ServerResponse,
    head: Record<string, string>,
    callId: string,
  ): void {
    const body = createRecordedBody(callId, this.#parts.service);
    response.writeHead(200, {
      ...head,
      "content-length": String(Buffer.byteLength(body)),
    });
    if (this.trouble !== "break-off") {
      response.end(body);
      return;
    }
    response.write(body.slice(0, 100));
    response.destroy();
  }

  async #stream(
    response: ServerResponse,
    head: Record<string, string>,
    callId: string,
    after: number,
  ): Promise<void> {
    response.writeHead(200, { ...head, "content-type": "text/event-stream" });
    for (let event = after + 1; event <= STREAM_EVENTS; event++) {
      if (response.destroyed || this.trouble === "hang") return;
      if (this.trouble === "break-off" && event > STREAM_EVENTS / 2) {
        response.write(`id: ${event}\nda`);
        response.destroy();
        return;
      }
      response.write(`id: ${event}\ndata: ${callId} ${event}\n\n`);
      await waitFor(systemClock, EVENT_PAUSE_MS);
    }
    response.end();
  }
}
