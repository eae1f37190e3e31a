import { isNotSentError } from "./connection_errors.ts";
import { createSocket, type Socket } from "node:dgram";
import { JSONRPCClient } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import {
  decodeHeartbeat,
  encodeHeartbeat,
  type Heartbeat,
  type InstanceRecord,
} from "../membership/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { bindSocket } from "./start_listening.ts";
import { createRpcResponder, type RpcResponder } from "./json_rpc_server.ts";
import { callWithTimeout } from "./call_with_timeout.ts";
import { readAnswerText } from "./read_answer.ts";
import type {
  PeerFailure,
  PeerMethod,
  PeerMethods,
  PeerTransport,
} from "../peers/mod.ts";

/** Address, token and metrics of a {@linkcode SocketPeerTransport}. */
export interface SocketPeerParts {
  readonly host: string;
  /** Port of the HTTP listener; heartbeats use the same port number over UDP. */
  readonly port: number;
  /** Secret that authenticates heartbeats and calls between instances. */
  readonly token: string;
  /** Receives the errors of the socket for heartbeats. */
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Certificates of trusted authorities, as PEM text. Default: those of the platform. */
  readonly authorities?: string | undefined;
}

/** Path of JSON-RPC calls between instances. */
export const PEER_PATH = "/peer";
/** Size of the IP and UDP headers of a heartbeat, in bytes. */
const UDP_HEADER_BYTES = 28;
const CALL_TIMEOUT_MS = 1_000;

/** Sends heartbeats to other instances over UDP, and calls as JSON-RPC 2.0 over HTTP. */
export class SocketPeerTransport implements PeerTransport {
  /** Bytes of heartbeats that were sent and received, including IP and UDP headers. */
  readonly heartbeatBytes = { sent: 0, received: 0 };
  readonly #parts: SocketPeerParts;
  readonly #socket: Socket;
  readonly #agent: Agent;
  #callId = 0;

  /** @param parts Address, token and metrics. */
  constructor(parts: SocketPeerParts) {
    this.#parts = parts;
    this.#socket = createSocket(parts.host.includes(":") ? "udp6" : "udp4");
    this.#agent = new Agent({
      connect: {
        timeout: CALL_TIMEOUT_MS,
        ...(parts.authorities === undefined ? {} : { ca: parts.authorities }),
      },
      keepAliveTimeout: 60_000,
    });
  }

  /**
   * Opens the UDP socket for heartbeats.
   *
   * @param receive Callback for each heartbeat that is authentic.
   */
  async open(receive: (heartbeat: Heartbeat) => void): Promise<void> {
    this.#socket.on("message", (datagram) => {
      this.heartbeatBytes.received += datagram.length + UDP_HEADER_BYTES;
      this.#parts.metrics.count(
        "membership.received_bytes",
        datagram.length + UDP_HEADER_BYTES,
      );
      const heartbeat = decodeHeartbeat(datagram, this.#parts.token);
      if (heartbeat !== undefined) receive(heartbeat);
    });
    await bindSocket(this.#socket, this.#parts, this.#parts.logger);
    this.#socket.unref();
  }

  send(to: InstanceRecord, heartbeat: Heartbeat): void {
    const datagram = encodeHeartbeat(heartbeat, this.#parts.token);
    const at = to.peerAddress.lastIndexOf(":");
    const host = to.peerAddress.slice(0, at).replace(/^\[|\]$/g, "");
    this.heartbeatBytes.sent += datagram.length + UDP_HEADER_BYTES;
    this.#parts.metrics.count(
      "membership.sent_bytes",
      datagram.length + UDP_HEADER_BYTES,
    );
    this.#socket.send(
      datagram,
      Number(to.peerAddress.slice(at + 1)),
      host,
      () => {},
    );
  }

  async call<Method extends PeerMethod>(
    to: InstanceRecord,
    method: Method,
    params: PeerMethods[Method]["params"],
  ): Promise<Result<PeerMethods[Method]["result"], PeerFailure>> {
    let failure: PeerFailure = {
      kind: "unknown",
      message: `Cannot call ${method}`,
    };
    const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
      try {
        const bounds = { timeoutMs: CALL_TIMEOUT_MS };
        const text = await callWithTimeout(bounds, async (signal) => {
          const response = await request(to.callerUrl + PEER_PATH, {
            method: "POST",
            headers: {
              "content-type": "application/json",
              "authorization": `Bearer ${this.#parts.token}`,
            },
            body: JSON.stringify(payload),
            dispatcher: this.#agent,
            signal,
          });
          return await readAnswerText(response.body);
        });
        client.receive(JSON.parse(text));
      } catch (error) {
        const { message } = error as Error;
        failure = {
          kind: isNotSentError(error) ? "unreachable" : "unknown",
          message,
        };
        throw error;
      }
    }, () => ++this.#callId);
    try {
      return ok(
        await client.request(method, params) as PeerMethods[Method]["result"],
      );
    } catch (error) {
      const message = error instanceof Error ? error.message : failure.message;
      return err({ ...failure, message });
    }
  }

  /** Closes the socket and all connections. */
  async close(): Promise<void> {
    this.#socket.close();
    await this.#agent.destroy();
  }
}

/** Function that serves a call of a peer. */
export type PeerCallHandler = <Method extends PeerMethod>(
  method: Method,
  params: PeerMethods[Method]["params"],
) => Promise<PeerMethods[Method]["result"]>;

const PEER_METHODS: readonly PeerMethod[] = [
  "configuration.push",
  "configuration.pull",
  "journal.begin",
  "journal.finish",
  "limits.borrow",
  "credits.grant",
];

/**
 * Returns a function that answers the JSON-RPC requests of peers.
 *
 * @param handle Serves the methods.
 * @param logger Receives the errors of methods.
 */
export function createPeerServer(
  handle: PeerCallHandler,
  logger: Logger,
): RpcResponder {
  const methods = PEER_METHODS.map((method) =>
    [
      method,
      (params: PeerMethods[typeof method]["params"]) => handle(method, params),
    ] as const
  );
  return createRpcResponder(Object.fromEntries(methods), logger);
}
