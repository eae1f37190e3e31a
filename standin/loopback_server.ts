import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { awaitAnswer } from "./http_basics.ts";

/** An HTTP server on loopback that can be stopped abruptly, as if its process had crashed. */
export abstract class LoopbackServer {
  readonly #server = createServer((message, response) =>
    void awaitAnswer(response, this.serve(message, response))
  );
  readonly #sockets = new Set<Socket>();

  /** Base URL; available after {@linkcode start}. */
  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * Starts to listen on 127.0.0.1.
   *
   * @param port Port; 0 picks a free one. Default: 0.
   */
  async start(port = 0): Promise<void> {
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#server.listen(port, "127.0.0.1");
    await once(this.#server, "listening");
  }

  /** Stops listening and closes all connections immediately. */
  async crash(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#sockets.forEach((socket) => socket.destroy());
    await closed;
  }

  /** Answers one request. */
  protected abstract serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;
}
