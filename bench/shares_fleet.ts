import type { TeamLimit } from "../teams/mod.ts";
import type {
  LimitArrival,
  LimitFleet,
  LimitFleetParts,
} from "./limit_fleet.ts";

/** Fleet with an equal share of the limit per instance, which overdraws it by one call at most. */
export class SharesFleet implements LimitFleet {
  readonly sent = 0;
  readonly #instanceCount: number;
  readonly #buckets: { tokens: number; atMs: number }[];
  #limit: TeamLimit;

  /** @param parts Size and limit of the fleet. */
  constructor({ instances, limit }: LimitFleetParts) {
    this.#instanceCount = instances;
    this.#limit = limit;
    this.#buckets = Array.from({ length: instances }, () => ({
      tokens: limit.burst / instances,
      atMs: 0,
    }));
  }

  admit({ atMs, instance, weight }: LimitArrival): boolean {
    const bucket = this.#buckets[instance]!;
    const { burst, perSecond } = this.#limit;
    const refill = perSecond * (atMs - bucket.atMs) / 1_000 /
      this.#instanceCount;
    bucket.tokens = Math.min(
      burst / this.#instanceCount,
      bucket.tokens + refill,
    );
    bucket.atMs = atMs;
    if (bucket.tokens <= 0) return false;
    bucket.tokens -= weight;
    return true;
  }

  tick(): void {}

  restart(instance: number, nowMs: number): void {
    this.#buckets[instance] = {
      tokens: this.#limit.burst / this.#instanceCount,
      atMs: nowMs,
    };
  }

  setLimit(limit: TeamLimit): void {
    this.#limit = limit;
  }
}
