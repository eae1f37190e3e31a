import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import {
  type ActiveSend,
  readHeader,
  type SendEvents,
  type SendFailure,
  type SendRequest,
  type ServerClient,
} from "../forwarding/mod.ts";
import { isClosed, isNotSent } from "./connection_errors.ts";
import { systemClock } from "./system_clock.ts";

/** Longest time to open a connection, in milliseconds: several round trips between regions. */
const CONNECT_TIMEOUT_MS = 1_000;
/** How long an idle connection is kept where the server does not say, in milliseconds. */
const IDLE_MS = 4_000;
/** Taken off the time that a server says, in milliseconds: the way there and late timers. */
const IDLE_MARGIN_MS = 600;
/** Idle connections after which the operating system probes the other side, in milliseconds. */
const PROBE_AFTER_MS = 1_000;

/**
 * Silence of a kept connection, in milliseconds, after which a send that is given
 * up speaks against the other idle ones as well: connections can go silent without
 * a reset. Below the half of an objective of a second, when sends are first given up.
 */
const SILENCE_MS = 400;

interface Connection {
  readonly client: Client;
  socket: Socket | undefined;
  /** When the last byte of an answer came, on the own clock; `undefined`: none has. */
  answeredMs: number | undefined;
}

/** Optional parts of a pool. */
export interface ConnectionPoolOptions {
  /** Silence that speaks against idle connections, in milliseconds. Default: 400. */
  readonly silenceMs?: number;
}

/**
 * Kept connections, one call at a time on each. Each is an undici client of its
 * own, so that the socket of an answer is known: undici takes an answer without
 * a length as whole when its connection is reset, and callers must not.
 */
export class ConnectionPool implements ServerClient {
  readonly #hosts = new Map<string, HostConnections>();
  readonly #silenceMs: number;

  /** @param options Bounds. */
  constructor(options: ConnectionPoolOptions = {}) {
    this.#silenceMs = options.silenceMs ?? SILENCE_MS;
  }

  send(request: SendRequest, events: SendEvents): ActiveSend {
    const { address, maxConnections } = request;
    let host = this.#hosts.get(address);
    if (host === undefined) {
      host = new HostConnections(address, this.#silenceMs);
      this.#hosts.set(address, host);
    }
    return host.send(request, events, maxConnections);
  }

  /** Closes the connections to addresses that are of no use any more. */
  keepOnly(addresses: ReadonlySet<string>): void {
    this.#hosts.forEach((host, address) => {
      if (addresses.has(address) || host.busy > 0) return;
      host.destroy();
      this.#hosts.delete(address);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#hosts.forEach((host) => host.destroy());
    this.#hosts.clear();
  }
}

class HostConnections {
  busy = 0;
  readonly #address: string;
  readonly #silenceMs: number;
  /** Free connections, the one used last at the end: it is the least likely to be closed. */
  readonly #free: Connection[] = [];

  constructor(address: string, silenceMs: number) {
    this.#address = address;
    this.#silenceMs = silenceMs;
  }

  send(
    request: SendRequest,
    events: SendEvents,
    maxConnections: number,
  ): ActiveSend {
    if (this.busy >= maxConnections) {
      events.onFailure({
        kind: "not-sent",
        message: `All ${maxConnections} connections are in use`,
      });
      return { resume: () => {}, abort: () => {} };
    }
    const connection = this.#free.pop() ?? this.#open();
    this.busy++;
    const startMs = systemClock.nowMs();
    const wasKept = connection.answeredMs !== undefined;
    const send = new Send(connection, events, (isReusable) => {
      this.busy--;
      if (isReusable) {
        this.#free.push(connection);
        return;
      }
      destroyQuietly(connection);
      const wasSilent = (connection.answeredMs ?? 0) < startMs &&
        systemClock.nowMs() - startMs >= this.#silenceMs;
      if (wasKept && wasSilent) this.#dropUnheard(startMs);
    });
    send.start(request);
    return send;
  }

  destroy(): void {
    this.#free.splice(0).forEach(destroyQuietly);
  }

  /** Closes idle connections on which nothing came since a time: they may be as silent. */
  #dropUnheard(sinceMs: number): void {
    const isUnheard = ({ answeredMs }: Connection) =>
      (answeredMs ?? 0) < sinceMs;
    const unheard = this.#free.filter(isUnheard);
    this.#free.splice(
      0,
      Infinity,
      ...this.#free.filter((each) => !isUnheard(each)),
    );
    unheard.forEach(destroyQuietly);
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const connection: Connection = {
      socket: undefined,
      answeredMs: undefined,
      client: new Client(`http://${this.#address}`, {
        pipelining: 1,
        keepAliveTimeout: IDLE_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        // The forwarder bounds the time of calls; silence of a server is no failure.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, callback) => {
          connect(options, (...result) => {
            // Its types say null for a failure; it passes one argument.
            const socket: Socket | null | undefined = result[1];
            if (socket) {
              connection.socket = socket;
              socket.setNoDelay(true);
              socket.setKeepAlive(true, PROBE_AFTER_MS);
            }
            callback(...result);
          });
        },
      }),
    };
    // A closed idle connection leaves the pool; its client would open another.
    connection.client.on("disconnect", () => {
      const at = this.#free.indexOf(connection);
      if (at < 0) return;
      this.#free.splice(at, 1);
      destroyQuietly(connection);
    });
    return connection;
  }
}

function destroyQuietly({ client }: Connection): void {
  client.destroy().catch(() => {/* it is closed either way */});
}

class Send implements ActiveSend, Dispatcher.DispatchHandler {
  readonly #connection: Connection;
  readonly #events: SendEvents;
  readonly #release: (isReusable: boolean) => void;
  #abort: (() => void) | undefined;
  #resume = () => {};
  #isDone = false;
  #isSent = false;
  /** Whether the answer has neither length nor chunks. */
  #endsWithConnection = false;

  constructor(
    connection: Connection,
    events: SendEvents,
    release: (isReusable: boolean) => void,
  ) {
    this.#connection = connection;
    this.#events = events;
    this.#release = release;
  }

  start(request: SendRequest): void {
    const { body, headers, method, target } = request;
    try {
      this.#connection.client.dispatch({
        method: method as Dispatcher.HttpMethod,
        path: target,
        headers,
        body: body.length > 0 ? body : null,
        // A second request behind an unanswered one could get its answer.
        blocking: true,
        idempotent: false,
      }, this);
    } catch (error) {
      this.#fail(error as Error);
    }
  }

  resume(): void {
    this.#resume();
  }

  abort(): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#abort?.();
    this.#release(false);
  }

  onConnect(abort: (error?: Error) => void): void {
    this.#abort = () => abort();
    if (this.#isDone) {
      abort();
      return;
    }
    this.#isSent = true;
  }

  onHeaders(
    status: number,
    rawHeaders: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    this.#connection.answeredMs = systemClock.nowMs();
    // Interim answers (1xx) concern only the connection: the body has been sent.
    if (status < 200 || this.#isDone) return true;
    this.#resume = resume;
    const headers = rawHeaders.map((text) => text.toString("latin1"));
    this.#endsWithConnection =
      readHeader(headers, "content-length") === undefined &&
      readHeader(headers, "transfer-encoding") === undefined;
    this.#events.onHead({ status, statusText, headers });
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isDone) return true;
    this.#connection.answeredMs = systemClock.nowMs();
    return this.#events.onData(chunk);
  }

  onComplete(trailers: string[] | null): void {
    if (this.#isDone) return;
    const { socket } = this.#connection;
    if (this.#endsWithConnection && hasBeenReset(socket)) {
      this.#fail(
        Object.assign(
          new Error("The connection was reset within the answer"),
          { code: "ECONNRESET" },
        ),
      );
      return;
    }
    this.#isDone = true;
    const texts = (trailers ?? []).map((text) =>
      typeof text === "string" ? text : (text as Buffer).toString("latin1")
    );
    this.#release(socket !== undefined && !socket.destroyed);
    this.#events.onEnd(texts);
  }

  onError(error: Error): void {
    this.#fail(error);
  }

  #fail(error: Error): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#release(false);
    this.#events.onFailure({
      kind: this.#toFailureKind(error),
      message: error.message,
    });
  }

  #toFailureKind(error: Error): SendFailure["kind"] {
    if (!this.#isSent || isNotSent(error)) return "not-sent";
    return isClosed(error) ? "closed" : "unknown";
  }
}

/**
 * Whether the other side has reset a connection that is reported as ended.
 *
 * Where data and reset are noticed in one turn, libuv reports an end and no
 * error (its short cut for a hang-up after a partial read). The operating system
 * still knows: a connection that was reset has no remote address any more. Node
 * keeps the first one that is asked for, so it is asked for here only.
 */
function hasBeenReset(socket: Socket | undefined): boolean {
  if (socket === undefined || socket.errored) return true;
  return !socket.destroyed && socket.remoteAddress === undefined;
}
