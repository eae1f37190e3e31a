import type { IncomingHttpHeaders } from "node:http";
import type { RawHeaders } from "../forwarding/mod.ts";

/** Returns the names and values of parsed headers in turn, as a flat list. */
export function toRawHeaders(headers: IncomingHttpHeaders): RawHeaders {
  return Object.entries(headers).flatMap(([name, value]) => [
    name,
    Array.isArray(value) ? value.join(", ") : value ?? "",
  ]);
}
