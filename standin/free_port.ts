import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/**
 * Returns a port that is free at the moment.
 *
 * @param host Loopback address.
 */
export async function findFreePort(host: string): Promise<number> {
  const server = createServer().listen(0, host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
