import type { Socket as DatagramSocket } from "node:dgram";
import { once } from "node:events";
import type { AddressInfo, ListenOptions, Server } from "node:net";
import type { Logger } from "../logs/mod.ts";

/**
 * Opens the port of a server. Rejects if that fails. Later errors, such as a connection that
 * cannot be accepted because no file descriptor is free, are logged, and the server goes on.
 *
 * @param server Server that does not listen yet.
 * @param options Address, and the number of connections that wait to be accepted.
 * @param logger Receives later errors.
 * @returns Port that the server listens on.
 */
export async function startListening(
  server: Server,
  options: ListenOptions,
  logger: Logger,
): Promise<number> {
  server.listen(options);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  logErrors(server, port, logger);
  return port;
}

/**
 * Opens the port of a datagram socket, as {@linkcode startListening} does that of a server.
 *
 * @param socket Socket that is not bound yet.
 * @param options Address.
 * @param logger Receives later errors.
 */
export async function bindSocket(
  socket: DatagramSocket,
  { host, port }: { readonly host: string; readonly port: number },
  logger: Logger,
): Promise<void> {
  socket.bind(port, host);
  await once(socket, "listening");
  logErrors(socket, port, logger);
}

function logErrors(
  listener: Server | DatagramSocket,
  port: number,
  logger: Logger,
): void {
  listener.on(
    "error",
    ({ message }) => logger.error("listener failed", { port, reason: message }),
  );
}
