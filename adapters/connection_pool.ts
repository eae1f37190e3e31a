import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import type {
  ActiveSend,
  SendEvents,
  SendRequest,
  ServerClient,
} from "../forwarding/mod.ts";
import { LineRateLimiter, type Logger } from "../logs/mod.ts";
import { FRAMING_EXCEEDED, FramingLimit } from "./framing_limit.ts";
import {
  type Connection,
  IDLE_MARGIN_MS,
  IDLE_TIMEOUT_MS,
  PooledSend,
} from "./pooled_send.ts";
import { systemClock } from "./system_clock.ts";

/** Maximum time to open a connection, in milliseconds: several round trips between regions. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle time after which the operating system sends TCP keep-alive probes, in milliseconds. */
const PROBE_AFTER_MS = 1_000;

/**
 * Minimum silence of a reused connection, in milliseconds, after which an abandoned
 * send also closes the idle connections that may be silent too: connections can
 * go silent without a reset. The value is below half of a latency objective of one
 * second, which is when sends are first abandoned.
 */
const SILENCE_MS = 400;

/** Number of calls that may not use a connection again, from which on it is closed. */
const MAX_EXCLUDED_CALLS = 32;
/** Maximum number of log lines in one second, so that a faulty server does not hide other lines. */
const LINES_PER_SECOND = 5;

/** Options of a {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  /**
   * Minimum silence after which an abandoned send closes silent idle connections, in
   * milliseconds. Default: 400.
   */
  readonly silenceMs?: number;
  /** Receives which connections were closed because their bytes did not end. Default: none. */
  readonly logger?: Logger;
  /**
   * Returns the maximum time for which bytes that are read now can have waited in the socket,
   * in milliseconds. Default: 0.
   */
  readonly readLoopDelayMs?: () => number;
}

/**
 * Pool of reusable connections, each with one call at a time. Each connection is an
 * undici client of its own, so that the socket of an answer is known: undici accepts
 * an answer without a length as complete when its connection is reset, and callers
 * must not.
 */
export class ConnectionPool implements ServerClient {
  readonly #hosts = new Map<string, HostConnections>();
  readonly #silenceMs: number;
  readonly #logger: Logger | undefined;
  readonly #readLoopDelayMs: () => number;
  readonly #lineLimiter = new LineRateLimiter(LINES_PER_SECOND);

  /** @param options Silence after which idle connections are closed, and the log. */
  constructor(options: ConnectionPoolOptions = {}) {
    this.#silenceMs = options.silenceMs ?? SILENCE_MS;
    this.#logger = options.logger;
    this.#readLoopDelayMs = options.readLoopDelayMs ?? (() => 0);
  }

  /**
   * Sends a call over a free connection, or over a new one if none is free.
   *
   * @param request Address and content of the call.
   * @param events Callbacks for the answer or the failure.
   */
  send(request: SendRequest, events: SendEvents): ActiveSend {
    const { address, maxConnections } = request;
    let host = this.#hosts.get(address);
    if (host === undefined) {
      host = new HostConnections(address, {
        silenceMs: this.#silenceMs,
        readLoopDelayMs: this.#readLoopDelayMs,
        logClosed: (reason) => this.#logClosed(address, reason),
      });
      this.#hosts.set(address, host);
    }
    return host.send(request, events, maxConnections);
  }

  /**
   * Closes the connections to addresses that are not needed any more. Those of an
   * address with an active call are kept.
   *
   * @param addresses Addresses whose connections are kept.
   */
  keepOnly(addresses: ReadonlySet<string>): void {
    this.#hosts.forEach((host, address) => {
      if (addresses.has(address) || host.busyCount > 0) return;
      host.destroy();
      this.#hosts.delete(address);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#hosts.forEach((host) => host.destroy());
    this.#hosts.clear();
  }

  #logClosed(address: string, reason: string): void {
    const suppressed = this.#lineLimiter.admitLine(systemClock.nowMs());
    if (suppressed === undefined) return;
    this.#logger?.warn("connection closed", { address, reason, suppressed });
  }
}

/** What the connections to a host need of their pool. */
interface HostParts {
  readonly silenceMs: number;
  readonly readLoopDelayMs: () => number;
  /** Logs why a connection was closed whose bytes did not end. */
  readonly logClosed: (reason: string) => void;
}

class HostConnections {
  busyCount = 0;
  readonly #address: string;
  readonly #parts: HostParts;
  /** Free connections; the last one was used last and is the least likely to be closed. */
  readonly #free: Connection[] = [];

  constructor(address: string, parts: HostParts) {
    this.#address = address;
    this.#parts = parts;
  }

  send(
    request: SendRequest,
    events: SendEvents,
    maxConnections: number,
  ): ActiveSend {
    if (this.busyCount >= maxConnections) {
      events.onFailure({
        kind: "not-sent",
        message: `All ${maxConnections} connections are in use`,
        isOwnLimit: true,
      });
      return { resume: () => {}, abort: () => {} };
    }
    const startMs = systemClock.nowMs();
    const connection = this.#takeFree(startMs, request.callId) ?? this.#open();
    this.busyCount++;
    const send = new PooledSend({
      connection,
      events,
      logClosed: this.#parts.logClosed,
      release: (isReusable) => this.#release(connection, startMs, isReusable),
    });
    send.start(request);
    return send;
  }

  destroy(): void {
    this.#free.splice(0).forEach(destroyQuietly);
  }

  /** Frees the connection of a send that began at a time, or closes it. */
  #release(
    connection: Connection,
    startMs: number,
    isReusable: boolean,
  ): void {
    this.busyCount--;
    const nowMs = systemClock.nowMs();
    if (isReusable && canServeMore(connection)) {
      connection.idleSinceMs = nowMs - this.#parts.readLoopDelayMs();
      this.#free.push(connection);
      return;
    }
    destroyQuietly(connection);
    const { answeredMs } = connection;
    const wasKept = answeredMs !== undefined && answeredMs < startMs;
    if (wasKept && nowMs - startMs >= this.#parts.silenceMs) {
      this.#closeSilent(startMs);
    }
  }

  /**
   * Returns the free connection that was used last among those that the call may use.
   * Connections that their servers may close now are closed: the client's own timer of idle
   * connections runs late after a standstill of this process.
   */
  #takeFree(nowMs: number, callId: string): Connection | undefined {
    let connection = this.#takeLast(callId);
    while (connection !== undefined) {
      const idleMs = nowMs - (connection.idleSinceMs ?? nowMs);
      if (idleMs <= connection.idleTimeoutMs) return connection;
      destroyQuietly(connection);
      connection = this.#takeLast(callId);
    }
    return undefined;
  }

  #takeLast(callId: string): Connection | undefined {
    const at = this.#free.findLastIndex(({ excludedCalls }) =>
      !excludedCalls.has(callId)
    );
    return at < 0 ? undefined : this.#free.splice(at, 1)[0];
  }

  /** Closes the idle connections that received nothing since a time: they may be silent too. */
  #closeSilent(sinceMs: number): void {
    const isSilent = ({ answeredMs }: Connection) =>
      (answeredMs ?? 0) < sinceMs;
    const silent = this.#free.filter(isSilent);
    this.#free.splice(
      0,
      Infinity,
      ...this.#free.filter((each) => !isSilent(each)),
    );
    silent.forEach(destroyQuietly);
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const connection: Connection = {
      socket: undefined,
      framingLimit: undefined,
      answeredMs: undefined,
      idleSinceMs: undefined,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      excludedCalls: new Set(),
      client: new Client(`http://${this.#address}`, {
        pipelining: 1,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        // The forwarder limits the time of calls; silence of a server isn't a failure.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, callback) => {
          connect(options, (...result) => {
            // On failure, the types declare null; at run time the argument is missing.
            const socket: Socket | null | undefined = result[1];
            if (socket) {
              connection.socket = socket;
              connection.framingLimit = new FramingLimit(socket);
              socket.setNoDelay(true);
              socket.setKeepAlive(true, PROBE_AFTER_MS);
            }
            callback(...result);
          });
        },
      }),
    };
    // A closed idle connection is removed: its client would open another one.
    connection.client.on("disconnect", () => {
      if (connection.framingLimit?.isExceeded) {
        this.#parts.logClosed(FRAMING_EXCEEDED);
      }
      const at = this.#free.indexOf(connection);
      if (at < 0) return;
      this.#free.splice(at, 1);
      destroyQuietly(connection);
    });
    return connection;
  }
}

/** Returns whether a connection is kept; of calls without an id, none may use it after one is excluded. */
function canServeMore({ excludedCalls }: Connection): boolean {
  return excludedCalls.size < MAX_EXCLUDED_CALLS && !excludedCalls.has("");
}

function destroyQuietly({ client }: Connection): void {
  client.destroy().catch(() => {/* the connection is closed either way */});
}
