import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { resetConnection } from "../standin/reset_connection.ts";

/** What a link does with the data that it forwards. */
export type LinkMode =
  | "pass"
  /** Each chunk is delayed. */
  | "delay"
  /** All data is dropped without an error. */
  | "silence"
  /** Requests are forwarded, answers are dropped. */
  | "one-way"
  /** Open and new connections are reset. */
  | "reset"
  /** Data is forwarded a few bytes at a time. */
  | "trickle";

const DELAY_MS = 250;
const TRICKLE_BYTES = 200;
const TRICKLE_PAUSE_MS = 10;

interface DataFlow {
  readonly from: Socket;
  readonly to: Socket;
  readonly direction: "request" | "answer";
}

/** Forwards TCP connections to one port on loopback, and disturbs them as its mode demands. */
export class LinkProxy {
  readonly #targetPort: number;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #mode: LinkMode = "pass";

  /** @param targetPort Port on 127.0.0.1 to which connections are forwarded. */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
  }

  /** Listens on loopback and returns the address and port. */
  async open(): Promise<string> {
    this.#server = createServer((socket) => this.#forward(socket));
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Sets the mode, also for open connections. */
  setMode(mode: LinkMode): void {
    const wasBlocked = isBlocked(this.#mode);
    this.#mode = mode;
    // Dropped data cannot be sent afterwards, so the connections are reset.
    if (mode === "reset" || wasBlocked && !isBlocked(mode)) this.#resetAll();
  }

  /** Ends all connections and stops listening. */
  close(): void {
    this.#server?.close();
    this.#resetAll();
  }

  #forward(caller: Socket): void {
    if (this.#mode === "reset") {
      resetConnection(caller);
      return;
    }
    const target = connect(this.#targetPort, "127.0.0.1");
    const ends = [caller, target] as const;
    ends.forEach((socket, at) => {
      const other = ends[1 - at]!;
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      // A failure of one socket is passed on to the other one, as on a direct connection.
      socket.on("error", () => resetConnection(other));
      socket.on("close", () => {
        this.#sockets.delete(socket);
        if (!isBlocked(this.#mode)) other.destroySoon();
      });
    });
    this.#pump({ from: caller, to: target, direction: "request" });
    this.#pump({ from: target, to: caller, direction: "answer" });
  }

  #pump(flow: DataFlow): void {
    // Chunks keep their order, however long each of them is delayed.
    let before: Promise<void> = Promise.resolve();
    flow.from.on("data", (chunk) => {
      before = before.then(() => this.#deliver(flow, chunk));
    });
  }

  async #deliver({ direction, to }: DataFlow, chunk: Buffer): Promise<void> {
    switch (this.#mode) {
      case "pass":
        to.write(chunk);
        return;
      case "delay":
        await waitFor(systemClock, DELAY_MS);
        to.write(chunk);
        return;
      case "trickle":
        for (let at = 0; at < chunk.length; at += TRICKLE_BYTES) {
          to.write(chunk.subarray(at, at + TRICKLE_BYTES));
          await waitFor(systemClock, TRICKLE_PAUSE_MS);
        }
        return;
      case "one-way":
        if (direction === "request") to.write(chunk);
        return;
      case "silence":
      case "reset":
        return;
    }
  }

  #resetAll(): void {
    this.#sockets.forEach((socket) => resetConnection(socket));
  }
}

function isBlocked(mode: LinkMode): boolean {
  return mode === "silence" || mode === "one-way";
}
