import type { RegionId } from "../ids/mod.ts";

/** What is known of another region. */
export interface RegionOption {
  readonly region: RegionId;
  /** Free sequences, as it last told. */
  readonly spare: number;
  /** Its estimate of the time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Age of both, in milliseconds. */
  readonly ageMs: number;
  /** Round trip of the link, in milliseconds. */
  readonly linkMs: number;
  /** Credits left that its gateways granted. */
  readonly credits: number;
}

/** What is decided on. */
export interface RegionRequest {
  /** Estimate at home, in milliseconds; `undefined`: home cannot serve. */
  readonly homeMs: number | undefined;
  /** Time that prefill of the uncached prompt adds in a cold cache. */
  readonly coldMs: number;
  /** Aim for the first token. */
  readonly aimMs: number;
  /** Whether the last decision for this service sent work away. */
  readonly wasAway: boolean;
  /** Allowed regions but home, each with what it told. */
  readonly options: readonly RegionOption[];
}

/** Where to serve a request. */
export type RegionDecision =
  | { readonly kind: "home" }
  | { readonly kind: "away"; readonly region: RegionId }
  /** Away would be better, but no credit is held: ask for some. */
  | { readonly kind: "home-and-ask"; readonly region: RegionId }
  | { readonly kind: "nowhere" };

/** Home must pass this part of its aim before work is sent away. */
const LEAVE_HOME_FACTOR = 0.4;
/** Once away, work returns when home is below this part of the aim. */
const RETURN_HOME_FACTOR = 0.28;
/** Away must be better by this factor. */
const MARGIN = 0.7;
const MAX_AGE_MS = 10_000;

/**
 * Decides between home and another region. Work leaves home only if home's
 * estimate breaks the aim and another region's, with its link and a cold cache,
 * is better by a margin and has granted credit.
 *
 * @param request Estimates and options.
 */
export function decideRegion(request: RegionRequest): RegionDecision {
  const { homeMs, aimMs, wasAway } = request;
  const factor = wasAway ? RETURN_HOME_FACTOR : LEAVE_HOME_FACTOR;
  if (homeMs !== undefined && homeMs <= aimMs * factor) return { kind: "home" };
  const limitMs = homeMs === undefined ? Infinity : homeMs * MARGIN;
  const better = request.options
    .filter(({ ageMs, spare }) => ageMs <= MAX_AGE_MS && spare > 0)
    .map((option) => ({
      option,
      costMs: estimateAwayMs(option, request.coldMs),
    }))
    .filter(({ costMs }) => costMs < limitMs)
    .sort((a, b) => a.costMs - b.costMs);
  const granted = better.find(({ option }) => option.credits >= 1);
  if (granted !== undefined) {
    return { kind: "away", region: granted.option.region };
  }
  const wanted = better[0]?.option.region;
  if (wanted !== undefined) return { kind: "home-and-ask", region: wanted };
  return homeMs === undefined ? { kind: "nowhere" } : { kind: "home" };
}

function estimateAwayMs(option: RegionOption, coldMs: number): number {
  return option.firstTokenMs + option.linkMs + coldMs;
}
