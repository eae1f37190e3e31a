import type { RegionId } from "../ids/mod.ts";

/** State of another region, as known to this instance. */
export interface RegionOption {
  readonly region: RegionId;
  /** Free sequences, as last reported by the region. */
  readonly spare: number;
  /** The region's own estimate of the time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Age of the reported values `spare` and `firstTokenMs`, in milliseconds. */
  readonly ageMs: number;
  /** Round-trip time to the region, in milliseconds. */
  readonly linkMs: number;
  /** Unspent credits granted by the region's instances. */
  readonly credits: number;
}

/** Input of {@linkcode decideRegion}. */
export interface RegionRequest {
  /**
   * Estimated time to the first token in the home region, in milliseconds;
   * `undefined` if the home region cannot serve the request.
   */
  readonly homeMs: number | undefined;
  /** Additional prefill time in a region that has not cached the prompt, in milliseconds. */
  readonly coldMs: number;
  /** Target for the time to the first token, in milliseconds. */
  readonly aimMs: number;
  /** Whether the last decision for this service chose a remote region. */
  readonly wasAway: boolean;
  /** Allowed remote regions. */
  readonly options: readonly RegionOption[];
}

/** Region in which a request is served. */
export type RegionDecision =
  | { readonly kind: "home" }
  | { readonly kind: "away"; readonly region: RegionId }
  /** A remote region would be faster, but there is no credit for it: request some. */
  | { readonly kind: "home-and-ask"; readonly region: RegionId }
  | { readonly kind: "nowhere" };

/** Requests leave the home region once its estimate exceeds this fraction of the target. */
const LEAVE_HOME_FACTOR = 0.4;
/** Requests return once the home region's estimate is at or below this fraction of the target. */
const RETURN_HOME_FACTOR = 0.28;
/** A remote region's estimate must be below this fraction of the home region's. */
const MAX_REMOTE_TO_HOME_RATIO = 0.7;
const MAX_DIGEST_AGE_MS = 10_000;

/**
 * Decides between the home region and a remote one. A request leaves the home
 * region only if the home estimate exceeds a fraction of the target, and a remote
 * region that has granted credit is faster by a margin, including the round trip
 * and a cold cache.
 *
 * @param request Estimates and remote regions.
 */
export function decideRegion(request: RegionRequest): RegionDecision {
  const { homeMs, aimMs, wasAway } = request;
  const factor = wasAway ? RETURN_HOME_FACTOR : LEAVE_HOME_FACTOR;
  if (homeMs !== undefined && homeMs <= aimMs * factor) return { kind: "home" };
  const limitMs = homeMs === undefined
    ? Infinity
    : homeMs * MAX_REMOTE_TO_HOME_RATIO;
  const betterOptions = request.options
    .filter(({ ageMs, spare }) => ageMs <= MAX_DIGEST_AGE_MS && spare > 0)
    .map((option) => ({
      option,
      remoteMs: estimateRemoteMs(option, request.coldMs),
    }))
    .filter(({ remoteMs }) => remoteMs < limitMs)
    .sort((a, b) => a.remoteMs - b.remoteMs);
  const granted = betterOptions.find(({ option }) => option.credits >= 1);
  if (granted !== undefined) {
    return { kind: "away", region: granted.option.region };
  }
  const best = betterOptions[0]?.option.region;
  if (best !== undefined) return { kind: "home-and-ask", region: best };
  return homeMs === undefined ? { kind: "nowhere" } : { kind: "home" };
}

function estimateRemoteMs(option: RegionOption, coldMs: number): number {
  return option.firstTokenMs + option.linkMs + coldMs;
}
