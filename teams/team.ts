import type { RegionId, TeamId } from "../ids/mod.ts";

/** Usage limit of a team over all instances together. */
export interface TeamLimit {
  /** Unit of measurement: calls, or the tokens that they read and may generate. */
  readonly unit: "requests" | "tokens";
  /** Units per second. */
  readonly perSecond: number;
  /** Units that may be used at once in addition to the rate. */
  readonly burst: number;
  /** Tokens counted for a call that does not state its number of tokens. */
  readonly plainTokens: number;
}

/** A team of callers: priority, home regions and limit of its calls. */
export interface Team {
  readonly id: TeamId;
  /** Priority of its calls, 0 being the most urgent. Default: that of the route. */
  readonly priority: number | undefined;
  /**
   * Regions that may serve its calls; `undefined`: all. An empty list allows none, so
   * that a missing rule never lifts the restriction.
   */
  readonly homeRegions: readonly RegionId[] | undefined;
  /** Usage limit. Default: none. */
  readonly limit: TeamLimit | undefined;
}

/** Number of tokens that a call reads, and the maximum that it may generate. */
export interface CallTokens {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/**
 * Returns the number of units that a call counts against a limit.
 *
 * @param limit Limit of the caller's team.
 * @param tokens Tokens that the call states; `undefined`: it states none.
 */
export function computeCallWeight(
  { plainTokens, unit }: TeamLimit,
  tokens: CallTokens | undefined,
): number {
  switch (unit) {
    case "requests":
      return 1;
    case "tokens":
      return tokens === undefined
        ? plainTokens
        : Math.max(0, tokens.promptTokens + tokens.maxOutputTokens);
  }
}
