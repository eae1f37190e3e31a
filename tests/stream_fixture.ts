import { createRequest, startGateway } from "./http_gateway_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";

/** What the functions below have opened; each test file closes it after each test. */
export const CLEAN_UPS: (() => void)[] = [];

/** Head of a signed answer in chunks. */
export const STREAM_HEAD = [
  "HTTP/1.1 200 OK",
  "X-Havenspur-Attempt-Id: c1",
  "X-Havenspur-Response-Signature: sig",
  "Content-Type: text/event-stream",
  "Transfer-Encoding: chunked",
  "",
  "",
].join("\r\n");
/** End of an answer in chunks. */
export const STREAM_END = "0\r\n\r\n";

/** Returns a text as a chunk of an answer. */
export function toChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Returns an event of a stream. */
export function createEvent(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/** How a server answers a request. */
export type StreamAnswer = Parameters<typeof startRawServer>[0];

/**
 * Starts a gateway with servers that stream.
 *
 * @param answers One for each server.
 * @param route Of the calls.
 */
export async function startStreams(
  answers: readonly StreamAnswer[],
  route: { readonly resumable: boolean; readonly maxAttempts: number },
) {
  const servers = await Promise.all(answers.map(startRawServer));
  const gateway = await startGateway({
    routes: [{ prefix: "/a/", kind: "streaming", ...route }],
    servers: Object.fromEntries(
      servers.map(({ address }, index) => [`s${index}`, address]),
    ),
  });
  CLEAN_UPS.push(
    () => gateway.close(),
    ...servers.map((server) => () => server.close()),
  );
  return { gateway, servers };
}

/** Asks for a stream and returns all that came until its connection ended. */
export async function askStream(port: number): Promise<string> {
  const caller = await openRawCaller(port);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(
    createRequest("/a/x", {
      method: "POST",
      body: "prompt",
      headers: ["Connection: close"],
    }),
  );
  return await caller.awaitEnd();
}
