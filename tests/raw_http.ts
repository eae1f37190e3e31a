import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { toLoopbackAddress } from "../standin/loopback_address.ts";

/** Backend server for which a test writes the bytes of each answer. */
export interface RawServer {
  readonly address: string;
  /** Heads and bodies of the requests received, as text. */
  readonly requests: string[];
  readonly sockets: Socket[];
  close(): void;
}

/**
 * Starts a backend server on loopback.
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
    let unparsed = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      unparsed += chunk.toString("latin1");
      let size = measureRequest(unparsed);
      while (size !== undefined) {
        const request = unparsed.slice(0, size);
        unparsed = unparsed.slice(size);
        requests.push(request);
        answer(request, socket);
        size = measureRequest(unparsed);
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

/** Returns the value of a header of a request or an answer, or `undefined`. */
export function findHeader(request: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\r$`, "im").exec(request)?.[1];
}

/** Connection of a caller on which a test reads and writes bytes. */
export interface RawCaller {
  readonly socket: Socket;
  /** All bytes received so far. */
  read(): string;
  /** Whether the connection was reset. */
  wasReset(): boolean;
  /** Resolves with all bytes once they contain the text, or the connection has ended. */
  awaitText(text: string | RegExp): Promise<string>;
  /** Resolves with all bytes once the connection has ended. */
  awaitEnd(): Promise<string>;
}

/**
 * Opens a connection to a loopback port, by default at the address of test gateways.
 *
 * @param allowHalfOpen Whether the caller can send after the other side has ended. Default: no.
 */
export async function openRawCaller(
  port: number,
  host = toLoopbackAddress(1),
  allowHalfOpen = false,
): Promise<RawCaller> {
  const socket = connect({ port, host, allowHalfOpen });
  await once(socket, "connect");
  let received = "";
  let hasEnded = false;
  let isReset = false;
  const pendingChecks = new Set<() => void>();
  const runChecks = () => pendingChecks.forEach((check) => check());
  socket.on("error", () => {
    isReset = true;
  });
  socket.on("data", (chunk) => {
    received += chunk.toString("latin1");
    runChecks();
  });
  socket.on("close", () => {
    hasEnded = true;
    runChecks();
  });
  const awaitCondition = (isMet: () => boolean) =>
    new Promise<string>((resolve) => {
      const check = () => {
        if (!isMet() && !hasEnded) return;
        pendingChecks.delete(check);
        resolve(received);
      };
      pendingChecks.add(check);
      check();
    });
  return {
    socket,
    read: () => received,
    wasReset: () => isReset,
    awaitText: (text) =>
      awaitCondition(() =>
        typeof text === "string" ? received.includes(text) : text.test(received)
      ),
    awaitEnd: () => awaitCondition(() => false),
  };
}

/** Returns the size in bytes of the first whole request in a text, or `undefined`. */
function measureRequest(text: string): number | undefined {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd + 4);
  const length = Number(findHeader(head, "content-length") ?? "0");
  const size = headEnd + 4 + length;
  return text.length >= size ? size : undefined;
}
