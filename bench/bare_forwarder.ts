import { Agent, createServer, request as sendRequest } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";

/** A forwarder that only copies, with nothing but `node:http`: the measure to compare with. */
export interface BareForwarder {
  readonly port: number;
  close(): void;
}

/** Starts a forwarder to one backend server. */
export async function startBareForwarder(
  backendPort: number,
): Promise<BareForwarder> {
  const agent = new Agent({ keepAlive: true });
  const server = createServer((incoming, response) => {
    const outgoing = sendRequest({
      agent,
      host: "127.0.0.1",
      port: backendPort,
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
    }, (answer) => {
      response.writeHead(answer.statusCode ?? 502, answer.rawHeaders);
      answer.pipe(response);
    });
    incoming.pipe(outgoing);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.closeAllConnections();
      server.close();
      agent.destroy();
    },
  };
}
