import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { toOwnLoopback } from "../standin/loopback_net.ts";

/** A backend server that answers with whatever bytes a test wants. */
export interface RawServer {
  readonly address: string;
  /** Heads and bodies of the requests that came, as text. */
  readonly requests: string[];
  readonly sockets: Socket[];
  close(): void;
}

/**
 * Starts a server on loopback.
 *
 * @param answer Called with each whole request and its connection.
 */
export async function startRawServer(
  answer: (request: string, socket: Socket) => void,
): Promise<RawServer> {
  const requests: string[] = [];
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    let waiting = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      waiting += chunk.toString("latin1");
      let size = measureRequest(waiting);
      while (size !== undefined) {
        const request = waiting.slice(0, size);
        waiting = waiting.slice(size);
        requests.push(request);
        answer(request, socket);
        size = measureRequest(waiting);
      }
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    sockets,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Returns a header of a request as text, or `undefined`. */
export function findHeader(request: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\r$`, "im").exec(request)?.[1];
}

/** A raw connection of a caller. */
export interface RawCaller {
  readonly socket: Socket;
  /** All bytes received so far. */
  read(): string;
  /** Resolves when the text has come, or the connection has ended. */
  awaitText(text: string | RegExp): Promise<string>;
  /** Resolves with all bytes when the connection has ended. */
  awaitEnd(): Promise<string>;
}

/** Opens a connection to a port on loopback, by default where gateways of tests listen. */
export async function openRawCaller(
  port: number,
  host = toOwnLoopback(1),
): Promise<RawCaller> {
  const socket = connect(port, host);
  await once(socket, "connect");
  let received = "";
  let hasEnded = false;
  const waiting = new Set<() => void>();
  const wake = () => waiting.forEach((check) => check());
  socket.on("error", () => {});
  socket.on("data", (chunk) => {
    received += chunk.toString("latin1");
    wake();
  });
  socket.on("close", () => {
    hasEnded = true;
    wake();
  });
  const awaitThat = (isThere: () => boolean) =>
    new Promise<string>((resolve) => {
      const check = () => {
        if (!isThere() && !hasEnded) return;
        waiting.delete(check);
        resolve(received);
      };
      waiting.add(check);
      check();
    });
  return {
    socket,
    read: () => received,
    awaitText: (text) =>
      awaitThat(() =>
        typeof text === "string" ? received.includes(text) : text.test(received)
      ),
    awaitEnd: () => awaitThat(() => false),
  };
}

/** Size of the first whole request in a text, or `undefined`. */
function measureRequest(text: string): number | undefined {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd + 4);
  const length = Number(findHeader(head, "content-length") ?? "0");
  const size = headEnd + 4 + length;
  return text.length >= size ? size : undefined;
}
