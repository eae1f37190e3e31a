import type { IncomingMessage, ServerResponse } from "node:http";

/** Returns the whole body of a request to a stand-in. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Sends a JSON body as the complete answer of a stand-in. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
  });
  response.end(text);
}

/**
 * Awaits the answer of a stand-in. If the caller has disconnected, nobody waits for the
 * answer; any other error is printed and answered with 500.
 *
 * @param response Response that the answer is written to.
 * @param answer Ends when the answer is written.
 */
export async function awaitAnswer(
  response: ServerResponse,
  answer: Promise<void>,
): Promise<void> {
  try {
    await answer;
  } catch (error) {
    if (response.destroyed) return;
    console.error("A stand-in cannot answer a request:", error);
    if (response.headersSent) response.destroy();
    else sendJson(response, 500, { error: { message: String(error) } });
  }
}
