import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { resetConnection } from "../adapters/reset_connection.ts";

/** A connection that breaks in one way, with the bytes that are sent before. */
export interface BrokenConnection {
  readonly name: string;
  /** Bytes that are sent; none: the connection breaks right after it was opened. */
  readonly bytes: string;
  /** `end`: closed after the bytes. `reset`: reset after them. */
  readonly end: "end" | "reset";
}

/** Time for which the other side of a connection may take to read what was sent, in milliseconds. */
const READ_TIME_MS = 40;

const HEAD = "Host: a.example\r\n";
const BODY_HEAD = `${HEAD}Content-Length: 100\r\n\r\n`;
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

const BYTES: readonly (readonly [name: string, bytes: string])[] = [
  ["no byte", ""],
  ["a head that breaks off", `GET / HTTP/1.1\r\n${HEAD}`],
  [
    "a whole request whose answer nobody reads",
    `GET / HTTP/1.1\r\n${HEAD}\r\n`,
  ],
  ["pipelined requests", `GET / HTTP/1.1\r\n${HEAD}\r\n`.repeat(50)],
  [
    "a request behind a body that breaks off",
    `POST / HTTP/1.1\r\n${BODY_HEAD}abc`,
  ],
  ["a chunk that breaks off", `POST / HTTP/1.1\r\n${CHUNKED_HEAD}64\r\nabc`],
  [
    "a chunk size that is no number",
    `POST / HTTP/1.1\r\n${CHUNKED_HEAD}zz\r\n`,
  ],
  [
    "a body over the size limit",
    `POST / HTTP/1.1\r\n${HEAD}Content-Length: 300000\r\n\r\n${
      "x".repeat(200_000)
    }`,
  ],
  ["no HTTP", "\x16\x03\x01\x02\x00\x01\x00"],
  ["a header that is too large", `GET / HTTP/1.1\r\nX: ${"x".repeat(80_000)}`],
  [
    "an upgrade",
    `GET / HTTP/1.1\r\n${HEAD}Connection: upgrade\r\nUpgrade: websocket\r\n\r\nabc`,
  ],
  ["a tunnel", `CONNECT a.example:1 HTTP/1.1\r\n${HEAD}\r\nabc`],
  [
    "an expectation",
    `POST / HTTP/1.1\r\n${HEAD}Expect: 100-continue\r\nContent-Length: 9\r\n\r\n`,
  ],
  [
    "an unknown expectation",
    `POST / HTTP/1.1\r\n${HEAD}Expect: more\r\nContent-Length: 9\r\n\r\n`,
  ],
  ...["//", "///", "*", "/%ff", "/%", "http://", "http://[/", "http://a:99999/"]
    .map((target) =>
      [`the target ${target}`, `GET ${target} HTTP/1.1\r\n${HEAD}\r\n`] as const
    ),
];

/** Kinds of broken connections, on any path. */
export const BROKEN_CONNECTIONS: readonly BrokenConnection[] = BYTES.flatMap(
  ([name, bytes]) => [
    { name: `${name}, then an end`, bytes, end: "end" as const },
    { name: `${name}, then a reset`, bytes, end: "reset" as const },
  ],
);

/**
 * Returns the kinds of broken connections on a path of a port.
 *
 * @param method Method of the requests.
 * @param path Path and query of the requests.
 */
export function listBrokenRequests(
  method: string,
  path: string,
): readonly BrokenConnection[] {
  const start = `${method} ${path} HTTP/1.1\r\n`;
  const bytes = [
    ["a body that breaks off", `${start}${BODY_HEAD}abc`],
    ["a chunk that breaks off", `${start}${CHUNKED_HEAD}64\r\nabc`],
    ["a body that is no JSON", `${start}${HEAD}Content-Length: 3\r\n\r\n{"a`],
    ["a body of null", `${start}${HEAD}Content-Length: 4\r\n\r\nnull`],
    ["a body of a list", `${start}${HEAD}Content-Length: 8\r\n\r\n[null,1]`],
    ["an answer that nobody reads", `${start}${HEAD}\r\n`.repeat(20)],
  ] as const;
  return bytes.flatMap(([name, bytes]) => [
    { name: `${method} ${path}, ${name}, then an end`, bytes, end: "end" },
    { name: `${method} ${path}, ${name}, then a reset`, bytes, end: "reset" },
  ]);
}

/**
 * Opens a connection, sends its bytes, and breaks it. Resolves once the other side had time
 * to read both.
 */
export async function breakConnection(
  host: string,
  port: number,
  { bytes, end }: BrokenConnection,
): Promise<void> {
  const socket = connect(port, host);
  socket.on("error", () => {});
  await Promise.race([once(socket, "connect"), once(socket, "close")]);
  if (bytes !== "") await writeBytes(socket, bytes);
  await pause();
  if (end === "end") socket.end();
  else resetConnection(socket);
  await pause();
  socket.destroy();
}

/** Sends datagrams to a port, one after the other. */
export async function sendDatagrams(
  host: string,
  port: number,
  datagrams: readonly (string | Buffer)[],
): Promise<void> {
  const socket = createSocket("udp4");
  for (const datagram of datagrams) {
    await new Promise((resolve) => socket.send(datagram, port, host, resolve));
    await pause();
  }
  socket.close();
}

function writeBytes(socket: Socket, bytes: string): Promise<void> {
  return new Promise((resolve) => {
    socket.once("close", () => resolve());
    socket.write(bytes, "latin1", () => resolve());
  });
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, READ_TIME_MS));
}
