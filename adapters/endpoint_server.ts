import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import findMyWay, { type HTTPMethod } from "find-my-way";

/** Answer of a {@linkcode EndpointRoute}. */
export interface EndpointAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Method, path and handler of a call that a {@linkcode EndpointServer} answers. */
export interface EndpointRoute {
  readonly method: HTTPMethod;
  readonly path: string;
  /**
   * Returns the answer to a call.
   *
   * @param input Query and body of the call.
   */
  handle(input: {
    readonly query: URLSearchParams;
    readonly body: string;
  }): EndpointAnswer | Promise<EndpointAnswer>;
}

/** Address and routes of a {@linkcode EndpointServer}. */
export interface EndpointServerParts {
  readonly host: string;
  readonly port: number;
  readonly routes: readonly EndpointRoute[];
}

/** HTTP server that is running. */
export interface EndpointServer {
  readonly port: number;
  /** Closes the port and all connections. */
  close(): void;
}

/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_MS = 15_000;
/**
 * Maximum size of a body, in bytes. Calls to these routes carry only a few names; a
 * larger body is read as empty.
 */
const MAX_BODY_BYTES = 65_536;

/**
 * Starts an HTTP server for calls with small bodies, such as those that read the
 * readiness, the directory or the metrics.
 *
 * @param parts Address and routes.
 */
export async function startEndpointServer(
  parts: EndpointServerParts,
): Promise<EndpointServer> {
  const router = findMyWay();
  parts.routes.forEach((route) => {
    router.on(route.method, route.path, async (request, response) => {
      const url = new URL(request.url ?? "/", "http://localhost");
      const body = await readText(request as IncomingMessage);
      const answer = await route.handle({ query: url.searchParams, body });
      response.writeHead(answer.status, {
        "Content-Type": answer.contentType,
        "Content-Length": Buffer.byteLength(answer.body),
      });
      response.end(answer.body);
    });
  });
  const server = createServer((request, response) =>
    router.lookup(request, response)
  );
  server.keepAliveTimeout = IDLE_MS;
  await listen(server, parts);
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Returns a JSON answer. */
export function toJsonAnswer(status: number, value: unknown): EndpointAnswer {
  const contentType = "application/json";
  return { status, contentType, body: JSON.stringify(value) };
}

async function listen(
  server: Server,
  parts: EndpointServerParts,
): Promise<void> {
  const { host, port } = parts;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, resolve);
  });
}

async function readText(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) return "";
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
