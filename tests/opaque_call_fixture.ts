import type {
  AnswerHead,
  CallSink,
  OpaqueCall,
  ServerClient,
} from "../forwarding/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";

/** Answers each send at once with 200. */
export const ANSWERING_CLIENT: ServerClient = {
  send: (_, events) => {
    queueMicrotask(() => {
      events.onHead({ status: 200, statusText: "OK", headers: [] });
      events.onEnd([]);
    });
    return { resume: () => {}, abort: () => {} };
  },
};

/** One idempotent route of one plain service, `app`, to which the calls below go. */
export const ONE_ROUTE = createRouteTable([createRoute("/a/")]);

/**
 * Returns a call of a caller.
 *
 * @param receivedMs When it arrived.
 * @param unreadMs How long of the time since it was not read. Default: 0.
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

/** Returns where an answer of which only the head counts may go; its caller stays. */
export function createHeadSink(begin: (head: AnswerHead) => void): CallSink {
  return {
    signal: new AbortController().signal,
    begin,
    write: () => true,
    onDrain: () => {},
    end: () => {},
    breakOff: () => {},
  };
}
