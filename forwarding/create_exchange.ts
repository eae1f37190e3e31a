import type { HttpService } from "../http_routes/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import { CallContent, type SharedPrompt } from "../quarantine/mod.ts";
import type { CallFacts } from "./call_header_codec.ts";
import type { Exchange } from "./exchange.ts";
import { toKeyedParts } from "./prefix_cache_model.ts";

/** A call whose route and service are known. */
export type RoutedCall = Pick<
  Exchange,
  "access" | "call" | "sink" | "facts" | "route" | "service" | "maxTokenGapMs"
>;

/** What an exchange needs beside its call. */
export interface ExchangeParts {
  /** Deadline of the call, in milliseconds on this instance's clock. */
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Order in the queue of waiting calls. */
  readonly waitOrder: number;
  /** The only servers that the call may be sent to. Default: any. */
  readonly onlyServers: ReadonlySet<BackendId> | undefined;
}

/** Returns the state with which a call begins to be served. */
export function createExchange(
  routed: RoutedCall,
  parts: ExchangeParts,
): Exchange {
  const { call, facts, route, service } = routed;
  const { origin } = call;
  const hop = origin.kind === "instance" ? origin.hop : undefined;
  return {
    ...routed,
    ...parts,
    content: new CallContent({
      ...call,
      host: facts.host,
      prompt: toSharedPrompt(facts, service),
    }),
    promptParts: toKeyedParts(facts.prompt?.parts ?? []),
    progress: {
      hasBegun: false,
      lastEventId: hop?.resumeAfter ?? facts.lastEventId,
      version: hop?.version,
    },
    tried: new Set(hop?.tried),
    withdrawn: new Set(),
    withdrawnInstances: new Map(),
    onlyInstances: undefined,
    unreached: new Set(),
    // Only the instance that the caller reached retries calls.
    attemptsLeft: hop === undefined ? route.maxAttempts : 1,
    sentTo: [],
    sends: 0,
    repeatReason: undefined,
    isHandingOver: false,
    isSecondSend: hop?.isHandover ?? false,
    isTrial: hop?.isTrial ?? false,
    isFirstSend: !isRepeat(routed),
    hasDrawnVersion: false,
    mayHaveRun: false,
    heldAnswer: undefined,
    avoidedRegions: new Set(),
    avoidedInstances: new Set(),
  };
}

/**
 * Returns what other calls may share of a call's prompt. The last part is the caller's own. Where
 * no model is named, the servers of one service run the same one.
 */
function toSharedPrompt(
  { prompt }: CallFacts,
  service: HttpService,
): SharedPrompt | undefined {
  if (prompt === undefined) return undefined;
  const { model = service.name, parts } = prompt;
  return { model, parts: parts.slice(0, -1).map(({ id }) => id) };
}

/** Returns whether a call was sent before. */
function isRepeat({ call: { origin }, facts }: RoutedCall): boolean {
  // Which version began a stream that its caller resumes is not known.
  if (origin.kind === "caller") return facts.lastEventId !== undefined;
  // Instances of earlier versions name only the servers that had the call.
  return origin.hop.isRepeat || origin.hop.tried.length > 0;
}
