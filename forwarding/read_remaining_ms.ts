import type { HttpRoute } from "../http_routes/mod.ts";
import type { Exchange } from "./exchange.ts";

/** Timeout of a call that neither its caller nor its route limits, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 600_000;

/** Returns the timeout of a call, in milliseconds: the shorter of its caller's and its route's. */
export function readRemainingMs(
  { call: { origin }, facts, route }:
    & Pick<Exchange, "call" | "facts">
    & { readonly route: HttpRoute | undefined },
): number {
  if (origin.kind === "instance") return origin.hop.remainingMs;
  const routeMs = route?.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return Math.min(facts.remainingMs ?? DEFAULT_TIMEOUT_MS, routeMs);
}
