import {
  type AnswerHead,
  type CallSink,
  type OpaqueCall,
  type RawHeaders,
  readHop,
  type SendRequest,
  type ServerClient,
  writeHopAnswer,
} from "../forwarding/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";

/** Returns a client that answers each call with status 200 and these headers in the next microtask. */
function createAnsweringClient(
  createHeaders: (request: SendRequest) => RawHeaders,
): ServerClient {
  return {
    send: (request, events) => {
      const headers = createHeaders(request);
      queueMicrotask(() => {
        events.onHead({ status: 200, statusText: "OK", headers });
        events.onEnd([]);
      });
      return { resume: () => {}, abort: () => {} };
    },
  };
}

/** Client whose servers answer each call with status 200 in the next microtask. */
export const ANSWERING_CLIENT = createAnsweringClient(() => []);
/** Client whose instances pass on such answers. */
export const ANSWERING_PEERS = createAnsweringClient(({ headers }) =>
  writeHopAnswer({
    kind: "answered",
    sendId: readHop(headers)?.sendId,
    servedMs: 0,
    tried: [],
    endsWithConnection: false,
    reason: undefined,
    version: undefined,
  })
);

/** Route table with one idempotent route to the plain service `app`, which the calls below match. */
export const SINGLE_ROUTE_TABLE = createRouteTable([createRoute("/a/")]);

/**
 * Returns a call as it arrives from a caller.
 *
 * @param receivedMs When it arrived, in milliseconds of the clock.
 * @param unreadMs The longest that it may have waited to be read, in milliseconds. Default: 0.
 */
export function createOpaqueCall(receivedMs: number, unreadMs = 0): OpaqueCall {
  return {
    method: "GET",
    target: "/a/x",
    headers: ["Host", "app.example"],
    body: Buffer.alloc(0),
    receivedMs,
    unreadMs,
    origin: { kind: "caller" },
  };
}

/** Returns a sink that passes on only the head of an answer, and whose caller never disconnects. */
export function createHeadSink(begin: (head: AnswerHead) => void): CallSink {
  return {
    signal: new AbortController().signal,
    begin,
    write: () => true,
    onDrain: () => {},
    end: () => {},
    abort: () => {},
  };
}
