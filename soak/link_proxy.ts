import { once, setMaxListeners } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { resetConnection } from "../adapters/reset_connection.ts";

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
  | "trickle"
  /** Answers are held back, and forwarded when the mode changes. */
  | "hold";

const DELAY_MS = 250;
/** Longest time for which data is held back, in milliseconds. */
const MAX_HOLD_MS = 10_000;
const TRICKLE_BYTES = 200;
const TRICKLE_PAUSE_MS = 10;

interface DataFlow {
  /** Connection of the caller, by which it may be disturbed alone. */
  readonly caller: Socket;
  readonly from: Socket;
  readonly to: Socket;
  readonly direction: "request" | "answer";
}

/** Forwards TCP connections to one port on loopback, and disturbs them as its mode demands. */
export class LinkProxy {
  readonly #targetPort: number;
  readonly #sockets = new Set<Socket>();
  /** Callers' connections whose data is dropped, whatever the mode is. */
  readonly #silenced = new Set<Socket>();
  #server: Server | undefined;
  #mode: LinkMode = "pass";
  #modeChange = new AbortController();
  #isStill = false;

  /** @param targetPort Port on 127.0.0.1 to which connections are forwarded. */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
  }

  /** Listens on loopback and returns the address and port. */
  async open(): Promise<string> {
    this.#server = createServer((socket) => this.#forward(socket));
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${this.#port}`;
  }

  /** Sets the mode, also for open connections. */
  setMode(mode: LinkMode): void {
    const wasBlocked = isBlocked(this.#mode);
    this.#mode = mode;
    this.#modeChange.abort("changed");
    this.#modeChange = new AbortController();
    setMaxListeners(0, this.#modeChange.signal);
    // Dropped data cannot be sent afterwards, so the connections are reset.
    if (mode === "reset" || wasBlocked && !isBlocked(mode)) this.#resetAll();
  }

  /**
   * Has all connections stand still, or go on, whatever the mode is. While they stand still,
   * new ones open, nothing is read and no byte is lost, as if the server's process were stopped.
   */
  setStill(isStill: boolean): void {
    this.#isStill = isStill;
    this.#sockets.forEach((socket) =>
      isStill ? socket.pause() : socket.resume()
    );
  }

  /** Drops all data of the connections from some local ports of callers, without an error. */
  silence(ports: ReadonlySet<number>): void {
    this.#listCallers(ports).forEach((caller) => this.#silenced.add(caller));
  }

  /** Resets the connections from some local ports of callers. */
  reset(ports: ReadonlySet<number>): void {
    this.#listCallers(ports).forEach((caller) => resetConnection(caller));
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
      if (this.#isStill) socket.pause();
      socket.setNoDelay(true);
      // A failure of one socket is passed on to the other one, as on a direct connection.
      socket.on("error", () => resetConnection(other));
      socket.on("close", () => {
        this.#sockets.delete(socket);
        this.#silenced.delete(socket);
        if (!isBlocked(this.#mode)) other.destroySoon();
      });
    });
    this.#pump({ caller, from: caller, to: target, direction: "request" });
    this.#pump({ caller, from: target, to: caller, direction: "answer" });
  }

  #listCallers(ports: ReadonlySet<number>): readonly Socket[] {
    return [...this.#sockets].filter(({ localPort, remotePort }) =>
      localPort === this.#port && ports.has(remotePort ?? 0)
    );
  }

  get #port(): number {
    return (this.#server!.address() as AddressInfo).port;
  }

  #pump(flow: DataFlow): void {
    // Chunks keep their order, however long each of them is delayed.
    let before: Promise<void> = Promise.resolve();
    flow.from.on("data", (chunk) => {
      before = before.then(() => this.#deliver(flow, chunk));
    });
  }

  async #deliver(
    { caller, direction, to }: DataFlow,
    chunk: Buffer,
  ): Promise<void> {
    if (this.#silenced.has(caller)) return;
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
      case "hold":
        if (direction === "answer") {
          await waitFor(systemClock, MAX_HOLD_MS, this.#modeChange.signal);
        }
        to.write(chunk);
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
