import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort } from "node:worker_threads";

/** A stream of more tokens than this stays open after its first event. */
const MAX_COMPLETED_TOKENS = 100_000;

const server = createServer((message, response) => {
  const chunks: Buffer[] = [];
  message.on("data", (chunk: Buffer) => chunks.push(chunk));
  message.on("end", () => {
    if (message.method !== "POST") {
      response.end(
        JSON.stringify({ running: 0, queued: 0, queuedTokens: 0, lagMs: 0 }),
      );
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString()) as {
      readonly max_tokens: number;
    };
    const attempt = String(message.headers["x-attempt-id"] ?? "direct");
    const write = (index: number, data: string) =>
      response.write(`id: ${attempt}/${index}\ndata: ${data}\n\n`);
    response.writeHead(200, { "content-type": "text/event-stream" });
    const isHeld = body.max_tokens > MAX_COMPLETED_TOKENS;
    const tokens = isHeld ? 1 : body.max_tokens;
    for (let index = 0; index < tokens; index++) {
      write(
        index,
        `{"id":"c","choices":[{"index":0,"delta":{"content":"w${index} "}}]}`,
      );
    }
    if (isHeld) return;
    write(tokens, "[DONE]");
    response.end();
  });
});
server.listen(0, "127.0.0.1");
await once(server, "listening");
parentPort?.postMessage(
  `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
);
