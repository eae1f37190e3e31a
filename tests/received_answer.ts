import { EventScanner } from "../forwarding/mod.ts";
import { findHeader, type RawCaller } from "./raw_http.ts";

/** An answer as its caller received it, and whether it takes it for a complete one. */
export interface ReceivedAnswer {
  readonly status: string;
  /** How the end of the body is told. */
  readonly framing: "length" | "chunked" | "connection";
  readonly body: string;
  /**
   * Whether the caller has the mark of a complete answer: all of its length or the last chunk;
   * without these, a connection that ended normally and, for a stream, not within an event.
   */
  readonly looksComplete: boolean;
  /** Whether a complete answer says that it may have been cut, as its server told no end. */
  readonly mayBeCut: boolean;
}

/** Waits until a caller's connection has ended, and reads the answer it received. */
export async function awaitAnswer(caller: RawCaller): Promise<ReceivedAnswer> {
  const received = await caller.awaitEnd();
  const headEnd = received.indexOf("\r\n\r\n");
  const head = received.slice(0, headEnd + 4);
  const rest = received.slice(headEnd + 4);
  const status = head.split(" ")[1] ?? "";
  const mayBeCut = findHeader(head, "x-may-be-cut") !== undefined;
  const known = { status, mayBeCut };
  if (headEnd < 0) {
    return { ...known, framing: "length", body: "", looksComplete: false };
  }
  if (findHeader(head, "transfer-encoding") !== undefined) {
    const { body, isEnded } = decodeChunks(rest);
    return { ...known, framing: "chunked", body, looksComplete: isEnded };
  }
  const length = findHeader(head, "content-length");
  if (length !== undefined) {
    const looksComplete = rest.length === Number(length);
    return { ...known, framing: "length", body: rest, looksComplete };
  }
  const isStream = findHeader(head, "content-type") === "text/event-stream";
  const isCut = caller.wasReset() || isStream && isInsideEvent(rest);
  return { ...known, framing: "connection", body: rest, looksComplete: !isCut };
}

/** Returns the ids of the whole events of a stream, in order. */
export function listEventIds(body: string): readonly string[] {
  return [...body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].map(([, id]) => id!);
}

function isInsideEvent(text: string): boolean {
  const scanner = new EventScanner();
  scanner.scan(Buffer.from(text, "latin1"));
  return scanner.isInsideEvent;
}

function decodeChunks(
  text: string,
): { readonly body: string; readonly isEnded: boolean } {
  let body = "";
  let rest = text;
  while (true) {
    const lineEnd = rest.indexOf("\r\n");
    if (lineEnd < 0) return { body, isEnded: false };
    const size = Number.parseInt(rest.slice(0, lineEnd), 16);
    if (size === 0) return { body, isEnded: rest.endsWith("\r\n\r\n") };
    const chunk = rest.slice(lineEnd + 2, lineEnd + 2 + size);
    body += chunk;
    rest = rest.slice(lineEnd + 2 + size + 2);
  }
}
