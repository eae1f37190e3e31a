import type { EndedOutcome } from "./attempt_outcome.ts";
import type { ServerOutcome } from "./server_health.ts";

/** Returns what a send shows about the health of its server; `undefined`: nothing. */
export function toServerOutcome(
  outcome: EndedOutcome,
): ServerOutcome | undefined {
  switch (outcome.kind) {
    case "answered":
      return outcome.status >= 500 ? "error" : "answered";
    case "failed":
      return "error";
    case "no-answer":
    case "broken":
      return "no-answer";
    case "rejected":
      return outcome.isMisdirected ? undefined : "rejected";
    // Connections that do not open are recorded apart; a limit of this instance shows nothing.
    case "not-sent":
    case "given-up":
      return undefined;
  }
}
