import type { BackendId } from "../ids/mod.ts";
import type { Exchange } from "./exchange.ts";

/** Time for which a withdrawn call is remembered, in milliseconds: longer than calls last. */
const MEMORY_MS = 15_000;
/** Maximum number of withdrawn calls that are remembered; the oldest ones are forgotten first. */
const MAX_CALLS = 1_000;

interface WithdrawnCall {
  readonly servers: readonly BackendId[];
  readonly untilMs: number;
}

/**
 * Remembers which servers had the calls that other instances handed over to this one and then
 * withdrew. An instance that withdraws a call learns of no server. If it sends the call here
 * again, the same server gets it, so that no further one is used.
 */
export class WithdrawnCalls {
  readonly #byKey = new Map<string, WithdrawnCall>();

  /** Records a call, which has ended, if another instance handed it over to this one and withdrew it. */
  recordIfWithdrawn(exchange: Exchange, nowMs: number): void {
    const { isSecondSend, sentTo, sink } = exchange;
    const key = toKey(exchange);
    if (!isSecondSend || !sink.signal.aborted || key === undefined) return;
    this.#byKey.delete(key);
    this.#byKey.set(key, { servers: sentTo, untilMs: nowMs + MEMORY_MS });
    // The calls are in the order in which they are to be forgotten.
    for (const [oldest, { untilMs }] of this.#byKey) {
      if (untilMs > nowMs && this.#byKey.size <= MAX_CALLS) return;
      this.#byKey.delete(oldest);
    }
  }

  /** Returns the only servers that a call may be sent to, or `undefined` for any. */
  findOnlyServers(
    call: Pick<Exchange, "call" | "facts">,
    nowMs: number,
  ): ReadonlySet<BackendId> | undefined {
    const { origin } = call.call;
    const key = toKey(call);
    if (origin.kind !== "instance" || key === undefined) return undefined;
    if (!origin.hop.isAgain) return undefined;
    const known = this.#byKey.get(key);
    const servers = known === undefined || known.untilMs <= nowMs
      ? undefined
      : known.servers;
    // Without a known server, any other one would be one too many.
    return servers?.length === 0 ? undefined : new Set(servers);
  }
}

/** Returns what identifies a call that an instance has sent to this one; `undefined`: a caller has. */
function toKey(
  { call: { origin }, facts: { callId } }: Pick<Exchange, "call" | "facts">,
): string | undefined {
  return origin.kind === "instance"
    ? `${origin.hop.from} ${callId}`
    : undefined;
}
