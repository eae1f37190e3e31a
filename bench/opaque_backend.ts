import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort } from "node:worker_threads";
import {
  CALL_ID_HEADER,
  SIGNATURE_HEADER,
} from "../standin/platform_headers.ts";

/** Number of events in a streamed answer. */
const EVENT_COUNT = 20;
const PLAIN_BODY = Buffer.alloc(800, "w");

/**
 * Server that answers each call at once: paths with `/stream` get events, one
 * per timer of 1 ms, all others get 800 bytes.
 */
const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    const callId = request.headers[CALL_ID_HEADER] ?? "";
    response.setHeader(CALL_ID_HEADER, callId);
    response.setHeader(SIGNATURE_HEADER, "bench");
    if (!request.url?.includes("/stream")) {
      response.setHeader("Content-Length", PLAIN_BODY.length);
      response.end(PLAIN_BODY);
      return;
    }
    response.setHeader("Content-Type", "text/event-stream");
    let sent = 0;
    const sendEvent = () => {
      sent++;
      response.write(`id: ${sent}\ndata: ${"t".repeat(60)}\n\n`);
      if (sent < EVENT_COUNT) setTimeout(sendEvent, 1);
      else response.end();
    };
    sendEvent();
  });
}).listen(0, "127.0.0.1", () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
