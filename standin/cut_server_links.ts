/**
 * Preloaded into a program under test: cuts it off from all servers on 127.0.0.1, as a
 * network would, when its parent process asks for that. Connections to other addresses
 * and to the named store are left alone.
 *
 * @module
 */
import { Socket } from "node:net";
import type { ServerLinksReply, ServerLinksRequest } from "./server_links.ts";

const SERVER_HOST = "127.0.0.1";

interface Target {
  readonly host?: string;
  readonly port?: number | string;
}

/** Open sockets to servers, with the ports that they are connected to. */
const open = new Map<Socket, number>();
/** What the parent process asked for last. */
let request: ServerLinksRequest = { state: "open", storePort: 0 };

const connect = Socket.prototype.connect as (
  this: Socket,
  ...args: readonly unknown[]
) => Socket;

function connectUnlessCut(this: Socket, ...args: readonly unknown[]): Socket {
  const target = readTarget(args[0]);
  const port = Number(target.port);
  if (target.host !== SERVER_HOST) return connect.apply(this, args as []);
  const isCut = request.state !== "open" && request.state !== "unreachable";
  if (isCut && port !== request.storePort) {
    Object.assign(this, { connecting: true });
    if (request.state !== "hanging") {
      const code = request.state === "reset" ? "ECONNRESET" : "ECONNREFUSED";
      const message = `connect ${code} ${SERVER_HOST}:${port}`;
      process.nextTick(() =>
        this.destroy(Object.assign(new Error(message), { code }))
      );
    }
    return this;
  }
  open.set(this, port);
  this.once("close", () => open.delete(this));
  return connect.apply(this, args as []);
}

Object.assign(Socket.prototype, { connect: connectUnlessCut });

process.on("message", (message: ServerLinksRequest) => {
  request = message;
  if (message.state === "unreachable") failOpenSockets();
  const ports = [...open].filter(([, port]) => port !== request.storePort)
    .flatMap(([{ localPort }]) => localPort ?? []);
  const reply: ServerLinksReply = { ports };
  process.send?.(reply);
});
// Waiting for requests must not keep the program running.
process.channel?.unref();

/** Fails the open sockets to servers as the system does once a router has lost the host. */
function failOpenSockets(): void {
  const code = "EHOSTUNREACH";
  [...open].filter(([, port]) => port !== request.storePort)
    .forEach(([socket]) => {
      const error = new Error(`write ${code}`);
      socket.destroy(Object.assign(error, { code, syscall: "write" }));
    });
}

/** Returns the target of a connection; Node passes its options alone or as the first of an array. */
function readTarget(first: unknown): Target {
  return (Array.isArray(first) ? first[0] : first) as Target;
}
