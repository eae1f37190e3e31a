import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort } from "node:worker_threads";
import {
  CALL_ID_HEADER,
  SIGNATURE_HEADER,
} from "../standin/platform_headers.ts";

/** Header with the number of events that a call is answered with; without it, one body is sent. */
export const EVENT_COUNT_HEADER = "bench-events";

const FIRST_EVENT_MS = 20;
const EVENT_PAUSE_MS = 20;
const PLAIN_BODY = Buffer.alloc(400, "w");
const EVENT_TEXT = "t".repeat(60);

/** Answers a call with events or with one body, as its header asks for. */
const answer: RequestListener = (request, response) => {
  request.resume();
  request.on("end", () => {
    response.setHeader(CALL_ID_HEADER, request.headers[CALL_ID_HEADER] ?? "");
    response.setHeader(SIGNATURE_HEADER, "bench");
    const events = Number(request.headers[EVENT_COUNT_HEADER] ?? 0);
    if (events === 0) {
      response.setHeader("Content-Length", PLAIN_BODY.length);
      response.end(PLAIN_BODY);
      return;
    }
    response.setHeader("Content-Type", "text/event-stream");
    let sent = 0;
    const sendEvent = () => {
      if (response.destroyed) return;
      sent++;
      response.write(`id: ${sent}\ndata: ${EVENT_TEXT}\n\n`);
      if (sent < events) setTimeout(sendEvent, EVENT_PAUSE_MS);
      else response.end();
    };
    setTimeout(sendEvent, FIRST_EVENT_MS);
  });
};

parentPort?.on("message", (count: number) => {
  void Promise.all(Array.from({ length: count }, () => listen())).then(
    (ports) => parentPort?.postMessage(ports),
  );
});

/** Opens a server on loopback, and resolves with its port. */
function listen(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer({ keepAliveTimeout: 30_000 }, answer);
    server.listen(0, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
