import { createRequest, startGateway } from "./http_gateway_fixture.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import { openRawCaller, type RawCaller, startRawServer } from "./raw_http.ts";

export { CLEAN_UPS };

/** Head of a signed event stream in chunked transfer encoding. */
export const STREAM_HEAD = [
  "HTTP/1.1 200 OK",
  "X-Havenspur-Attempt-Id: c1",
  "X-Havenspur-Response-Signature: sig",
  "Content-Type: text/event-stream",
  "Transfer-Encoding: chunked",
  "",
  "",
].join("\r\n");
/** Head of a signed event stream with neither a length nor chunks. */
export const UNFRAMED_STREAM_HEAD = STREAM_HEAD.replace(
  "Transfer-Encoding: chunked",
  "Connection: close",
);
/** Last chunk of an answer in chunked transfer encoding. */
export const STREAM_END = "0\r\n\r\n";

/** Refusal of a server that has not run the call. */
export const REFUSAL = [
  "HTTP/1.1 503 Service Unavailable",
  "X-Havenspur-Attempt-Id: c1",
  "X-Havenspur-Not-Executed: true",
  "Content-Length: 0",
  "",
  "",
].join("\r\n");
/**
 * Silence of a sound server, in milliseconds: longer than the time after which a call is sent
 * elsewhere.
 */
export const SILENCE_MS = 1_800;

/** Returns a text as a chunk in chunked transfer encoding. */
export function toChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Returns a server-sent event with an id. */
export function createEvent(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/** Answers a request by writing to its connection. */
export type RequestHandler = Parameters<typeof startRawServer>[0];

/** Sends no answer. */
export const keepSilent: RequestHandler = () => {};

/** Sends an event, and another one after a silence. */
export const pauseMidway: RequestHandler = (_, socket) => {
  socket.write(STREAM_HEAD + toChunk(createEvent(1)));
  setTimeout(
    () => socket.write(toChunk(createEvent(2)) + STREAM_END),
    SILENCE_MS,
  );
};

/** Returns a handler that uses the handlers in turn, and the last one from then on. */
export function takeTurns(
  ...handlers: readonly RequestHandler[]
): RequestHandler {
  let received = 0;
  return (request, socket) =>
    handlers[Math.min(received++, handlers.length - 1)]!(request, socket);
}

/**
 * Starts a gateway with one streaming server for each handler.
 *
 * @param handlers Handlers of the requests, one for each server.
 * @param route Settings of the route to the servers, and whether these are model engines.
 */
export async function startStreamingGateway(
  handlers: readonly RequestHandler[],
  { isEngine = false, ...route }: {
    readonly resumable: boolean;
    readonly maxAttempts: number;
    /** Default: no. */
    readonly isEngine?: boolean;
  },
) {
  const servers = await Promise.all(handlers.map(startRawServer));
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: "streaming", ...route }],
    servers: Object.fromEntries(
      servers.map(({ address }, index) => [`s${index}`, address]),
    ),
    ...(isEngine ? { engine: { slots: 8, kvCacheTokens: 100_000 } } : {}),
  });
  CLEAN_UPS.push(
    () => gateway.close(),
    ...servers.map((server) => () => server.close()),
  );
  return { gateway, servers };
}

/** Requests a stream on a connection of its own, which ends with the answer. */
export async function openStream(
  port: number,
  host?: string,
): Promise<RawCaller> {
  const caller = await openRawCaller(port, host);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(
    createRequest("/a/x", {
      method: "POST",
      body: "prompt",
      headers: ["Connection: close"],
    }),
  );
  return caller;
}

/** Requests a stream and returns all bytes received until the connection ended. */
export async function requestStream(port: number): Promise<string> {
  return await (await openStream(port)).awaitEnd();
}
