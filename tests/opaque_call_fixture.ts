import type {
  AnswerHead,
  CallSink,
  OpaqueCall,
  ServerClient,
} from "../forwarding/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";

/** Client that answers each call with status 200 in the next microtask. */
export const ANSWERING_CLIENT: ServerClient = {
  send: (_, events) => {
    queueMicrotask(() => {
      events.onHead({ status: 200, statusText: "OK", headers: [] });
      events.onEnd([]);
    });
    return { resume: () => {}, abort: () => {} };
  },
};

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
