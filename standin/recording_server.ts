import { once, setMaxListeners } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { systemClock } from "../adapters/system_clock.ts";
import { createRandom, waitFor } from "../clock/mod.ts";
import {
  BRITTLE_HEADER,
  CALL_ID_HEADER,
  EXPECTED_SERVER_HEADER,
  LEAVING_HEADER,
  LIMIT_HEADER,
  NOT_EXECUTED_HEADER,
  PROMPT_PARTS_HEADER,
  SIGNATURE_HEADER,
  TEAM_HEADER,
} from "./platform_headers.ts";
import { awaitAnswer, readBody } from "./http_basics.ts";
import { resetConnection } from "../adapters/reset_connection.ts";
import { createCuts, sendCutAnswer } from "./cut_answer.ts";

/** How a server fails. */
export type ServerFault =
  | "none"
  /** Accepts calls and never answers. */
  | "hang"
  /** Runs calls and answers them with an error. */
  | "fail"
  /** Closes the connection in the middle of each answer. */
  | "break-off"
  /** Frames answers in other ways, and ends many of them early, by end or reset. */
  | "cut"
  /** Sends a refusal that names no call before each answer, as if it were late. */
  | "stray"
  /** Refuses all calls and asks for a cool-down. */
  | "rest";

/** Body of a call that crashes each server that runs it. */
export const CRASHING_BODY = "ends the server";
/** Prompt part of calls that crash each server that runs them, whatever else they hold. */
export const CRASHING_PART = "badbad";

/** A call that a server started to run. */
export interface RecordedRun {
  readonly callId: string;
  readonly server: string;
  readonly service: string;
  /** Version of the server's software. */
  readonly version: string;
  readonly atMs: number;
  /** Number of the event after which the stream was resumed; `undefined`: it starts at the first event. */
  readonly resumedAfter: number | undefined;
  /** Whether the call crashes the server. */
  readonly crashesServer: boolean;
  /** Whether it is a part of its prompt that crashes the server. */
  readonly hasCrashingPart: boolean;
  /** Team from the header of the gateway; `undefined`: the header is missing or occurs more than once. */
  readonly team: string | undefined;
  /** Whether the caller's key was sent with the call. */
  readonly hasKey: boolean;
  /** Whether the server frames the answer in another way and may end it early. */
  readonly cutsAnswer: boolean;
}

/** A call that a server refused during its cool-down. */
export interface RecordedRefusal {
  readonly server: string;
  readonly atMs: number;
}

/** A failure that a server of a bad version answered with. */
export interface RecordedBadAnswer {
  readonly version: string;
  readonly atMs: number;
}

/** Constructor arguments of {@linkcode RecordingServer}. */
export interface RecordingServerParts {
  readonly id: string;
  readonly service: string;
  /** Version of its software. Default: `v1`. */
  readonly version?: string;
  /** Share of the calls that a bad version answers with a failure. Default: 0. */
  readonly badShare?: number;
  /** Receives the failures of a bad version. Default: ignored. */
  readonly recordBadAnswer?: (answer: RecordedBadAnswer) => void;
  readonly nowMs: () => number;
  readonly record: (run: RecordedRun) => void;
  readonly recordRefusal: (refusal: RecordedRefusal) => void;
  /** Receives calls that are rejected because all slots are taken. */
  readonly recordRejection: (rejection: RecordedRefusal) => void;
  /** Called when a call has crashed the server. */
  readonly onCrashed: () => void;
}

/** Cool-down that a server asks for, in seconds. */
export const COOLDOWN_S = 3;
/** Time from the start of a run to its answer, in milliseconds. */
const WORK_DURATION_MS = 25;
/** Number of calls that a server works on at a time, unless it has fewer slots. */
const DEFAULT_SLOTS = 16;
/** Seed of the choice of calls that a bad version fails. */
const BAD_ANSWER_SEED = 1;
/** Paths of streaming routes. */
const STREAM_PATH = /^\/([\w-]+-)?stream\//;
/** Refusal that names no call. */
const STRAY_REFUSAL = [
  "HTTP/1.1 503 Service Unavailable",
  `${NOT_EXECUTED_HEADER}: 1`,
  "Content-Length: 0",
  "\r\n",
].join("\r\n");
/** Number of events in a stream. */
export const STREAM_EVENTS = 12;
/** Pause between the events of a stream, in milliseconds. */
const EVENT_PAUSE_MS = 20;

/** Returns the body of the answer to a call that is not streamed. */
export function createRecordedBody(callId: string, service: string): string {
  return JSON.stringify({ callId, service, filler: "x".repeat(600) });
}

/** Returns the events of the answer to a call that is streamed. */
export function createRecordedEvents(callId: string): readonly string[] {
  return Array.from(
    { length: STREAM_EVENTS },
    (_, at) => `id: ${at + 1}\ndata: ${callId} ${at + 1}\n\n`,
  );
}

/** A backend server that records each call that it runs. */
export class RecordingServer {
  /** Current fault. */
  fault: ServerFault = "none";
  /** Whether answers say that the server is shutting down. */
  advertisesLeaving = false;
  /** Limit that answers advertise, in calls per second; `undefined`: none. */
  limitPerSecond: number | undefined;
  /** Rejections per second that answers say it survives; `undefined`: they say nothing. */
  survivedRejections: number | undefined;
  /** Number of calls that it works on at a time, as its entry says. */
  slots = DEFAULT_SLOTS;
  /** Whether it rejects calls beyond its slots. */
  rejectsBeyondSlots = false;
  #crashedMs: number | undefined;
  /** Aborts when the server goes on; `undefined`: it does not stand still. */
  #stillness: AbortController | undefined;
  readonly #running = new Map<ServerResponse, string>();
  readonly #random = createRandom(BAD_ANSWER_SEED);
  readonly #cuts = createCuts();
  readonly #parts: RecordingServerParts;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;

  /** @param parts Identity, clock, and functions that receive runs, refusals and the crash. */
  constructor(parts: RecordingServerParts) {
    this.#parts = parts;
  }

  /** Id of the server. */
  get id(): string {
    return this.#parts.id;
  }

  /** Service that the server belongs to. */
  get service(): string {
    return this.#parts.service;
  }

  /** Version of its software. */
  get version(): string {
    return this.#parts.version ?? "v1";
  }

  /** Ids of the calls that it has not answered completely. */
  get runningCalls(): readonly string[] {
    return [...this.#running.values()];
  }

  /**
   * Listens on loopback.
   *
   * @param port Port; 0 picks a free one. Default: 0.
   * @returns Port that the server listens on.
   */
  async open(port = 0): Promise<number> {
    const server = createServer((request, response) => {
      void awaitAnswer(response, this.#answer(request, response));
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

  /** When it crashed; `undefined`: it did not. */
  get crashedMs(): number | undefined {
    return this.#crashedMs;
  }

  /** Stops listening and resets all connections, as a crash does. */
  crash(): void {
    this.#crashedMs ??= this.#parts.nowMs();
    this.#server?.close();
    this.#sockets.forEach((socket) => resetConnection(socket));
  }

  /** Has all work stand still, or go on, as if the process were stopped. */
  setStill(isStill: boolean): void {
    this.#stillness?.abort("going on");
    this.#stillness = isStill ? new AbortController() : undefined;
  }

  async #work(durationMs: number): Promise<void> {
    await waitFor(systemClock, durationMs);
    if (this.#stillness === undefined) return;
    setMaxListeners(0, this.#stillness.signal);
    await once(this.#stillness.signal, "abort");
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { id, nowMs, record, service } = this.#parts;
    const { version } = this;
    const callId = String(request.headers[CALL_ID_HEADER] ?? "");
    const expected = request.headers[EXPECTED_SERVER_HEADER];
    const hasCrashingPart = String(request.headers[PROMPT_PARTS_HEADER] ?? "")
      .includes(CRASHING_PART);
    const body = (await readBody(request)).toString();
    const crashesServer = hasCrashingPart || body === CRASHING_BODY;
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        [CALL_ID_HEADER]: callId,
        [NOT_EXECUTED_HEADER]: "1",
      });
      response.end();
      return;
    }
    if (this.fault === "rest") {
      this.#refuse(response, callId);
      return;
    }
    if (this.rejectsBeyondSlots && this.#running.size >= this.slots) {
      this.#reject(response, callId);
      return;
    }
    this.#running.set(response, callId);
    response.once("close", () => this.#running.delete(response));
    const lastId = request.headers["last-event-id"];
    const resumedAfter = lastId === undefined ? undefined : Number(lastId);
    const atMs = nowMs();
    const cutsAnswer = this.fault === "cut";
    const teams = request.headersDistinct[TEAM_HEADER] ?? [];
    record({
      callId,
      server: id,
      service,
      version,
      atMs,
      resumedAfter,
      crashesServer,
      hasCrashingPart,
      team: teams.length === 1 ? teams[0] : undefined,
      hasKey: request.headers.authorization !== undefined,
      cutsAnswer,
    });
    await this.#work(WORK_DURATION_MS);
    if (crashesServer) {
      this.crash();
      this.#parts.onCrashed();
      return;
    }
    if (this.fault === "hang") return;
    if (this.fault === "stray") response.socket?.write(STRAY_REFUSAL);
    const headers = {
      [CALL_ID_HEADER]: callId,
      [SIGNATURE_HEADER]: "signed",
      ...(this.advertisesLeaving ? { [LEAVING_HEADER]: "1" } : {}),
      ...(this.limitPerSecond === undefined
        ? {}
        : { [LIMIT_HEADER]: String(this.limitPerSecond) }),
      ...this.#createBrittleHeaders(),
    };
    if (this.#random.nextFloat() < (this.#parts.badShare ?? 0)) {
      this.#parts.recordBadAnswer?.({ version, atMs: nowMs() });
      response.writeHead(500, headers);
      response.end("failed");
      return;
    }
    if (this.fault === "fail") {
      response.writeHead(500, headers);
      response.end("failed");
      return;
    }
    const isStream = STREAM_PATH.test(request.url ?? "");
    if (cutsAnswer) {
      await this.#sendCutAnswer(response, headers, {
        callId,
        afterEvent: isStream ? resumedAfter ?? 0 : undefined,
      });
    } else if (isStream) {
      await this.#sendStream(response, headers, callId, resumedAfter ?? 0);
    } else this.#sendBody(response, headers, callId);
  }

  /** Sends a part of a stream after an event, or of a body if there is no event. */
  async #sendCutAnswer(
    response: ServerResponse,
    headers: Record<string, string>,
    { afterEvent, callId }: {
      readonly callId: string;
      readonly afterEvent: number | undefined;
    },
  ): Promise<void> {
    const cut = this.#cuts.next().value;
    if (afterEvent === undefined) {
      return await sendCutAnswer(response, {
        // The end of a body in chunks that is no stream can't be wrong.
        cut: { ...cut, isChunked: false },
        headers,
        parts: [createRecordedBody(callId, this.#parts.service)],
        pauseMs: 0,
      });
    }
    await sendCutAnswer(response, {
      cut,
      headers: { ...headers, "content-type": "text/event-stream" },
      parts: createRecordedEvents(callId).slice(afterEvent),
      pauseMs: EVENT_PAUSE_MS,
    });
  }

  #refuse(response: ServerResponse, callId: string): void {
    const { id, nowMs, recordRefusal } = this.#parts;
    recordRefusal({ server: id, atMs: nowMs() });
    response.writeHead(503, {
      [CALL_ID_HEADER]: callId,
      [NOT_EXECUTED_HEADER]: "1",
      "retry-after": String(COOLDOWN_S),
    });
    response.end();
  }

  #reject(response: ServerResponse, callId: string): void {
    const { id, nowMs, recordRejection } = this.#parts;
    recordRejection({ server: id, atMs: nowMs() });
    response.writeHead(503, {
      [CALL_ID_HEADER]: callId,
      [NOT_EXECUTED_HEADER]: "1",
      ...this.#createBrittleHeaders(),
    });
    response.end();
  }

  #createBrittleHeaders(): Record<string, string> {
    return this.survivedRejections === undefined
      ? {}
      : { [BRITTLE_HEADER]: String(this.survivedRejections) };
  }

  #sendBody(
    response: ServerResponse,
    headers: Record<string, string>,
    callId: string,
  ): void {
    const body = createRecordedBody(callId, this.#parts.service);
    response.writeHead(200, {
      ...headers,
      "content-length": String(Buffer.byteLength(body)),
    });
    if (this.fault !== "break-off") {
      response.end(body);
      return;
    }
    response.write(body.slice(0, 100));
    response.destroy();
  }

  async #sendStream(
    response: ServerResponse,
    headers: Record<string, string>,
    callId: string,
    afterEvent: number,
  ): Promise<void> {
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    const events = createRecordedEvents(callId);
    for (let event = afterEvent + 1; event <= STREAM_EVENTS; event++) {
      if (response.destroyed || this.fault === "hang") return;
      if (this.fault === "break-off" && event > STREAM_EVENTS / 2) {
        response.write(`id: ${event}\nda`);
        response.destroy();
        return;
      }
      response.write(events[event - 1]!);
      await this.#work(EVENT_PAUSE_MS);
    }
    response.end();
  }
}
