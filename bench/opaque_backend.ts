import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort } from "node:worker_threads";
import {
  CALL_ID_HEADER,
  SIGNATURE_HEADER,
} from "../standin/platform_headers.ts";

/** Events of a streamed answer. */
const EVENTS = 20;
const WHOLE_BODY = Buffer.alloc(800, "w");

/**
 * Answers each call at once: `/stream` with events, one a turn of its loop, all
 * else with 800 bytes.
 */
const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    const callId = request.headers[CALL_ID_HEADER] ?? "";
    response.setHeader(CALL_ID_HEADER, callId);
    response.setHeader(SIGNATURE_HEADER, "bench");
    if (!request.url?.includes("/stream")) {
      response.setHeader("Content-Length", WHOLE_BODY.length);
      response.end(WHOLE_BODY);
      return;
    }
    response.setHeader("Content-Type", "text/event-stream");
    let sent = 0;
    const push = () => {
      sent++;
      response.write(`id: ${sent}\ndata: ${"t".repeat(60)}\n\n`);
      if (sent < EVENTS) setTimeout(push, 1);
      else response.end();
    };
    push();
  });
}).listen(0, "127.0.0.1", () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
