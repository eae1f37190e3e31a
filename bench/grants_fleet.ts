import type { TeamLimit } from "../teams/mod.ts";
import {
  type LimitArrival,
  type LimitFleet,
  type LimitFleetParts,
  TICK_MS,
  toRegionIndex,
} from "./limit_fleet.ts";

/** Time during which a grant may be spent, in milliseconds. */
const GRANT_MS = 1_000;
/** Weight of the former mean in the moving average of demand. */
const DEMAND_MEMORY = 0.7;

interface Grant {
  left: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Fleet in which one instance grants the others budgets for a time, in proportion to their demand. */
export class GrantsFleet implements LimitFleet {
  sent = 0;
  readonly #parts: LimitFleetParts;
  readonly #grants: Grant[][];
  readonly #demand: number[];
  readonly #requested: number[];
  /** Weight admitted beyond the grants, of one call at most, which later grants repay. */
  readonly #debt: number[];
  #limit: TeamLimit;
  #tokens: number;
  #atMs = 0;

  /** @param parts Size and limit of the fleet, and the state of its instances and network. */
  constructor(parts: LimitFleetParts) {
    this.#parts = parts;
    this.#limit = parts.limit;
    this.#tokens = parts.limit.burst;
    this.#grants = Array.from({ length: parts.instances }, () => []);
    this.#demand = this.#grants.map(() => 0);
    this.#requested = this.#grants.map(() => 0);
    this.#debt = this.#grants.map(() => 0);
  }

  admit({ atMs, instance, weight }: LimitArrival): boolean {
    this.#requested[instance]! += weight;
    const grants = this.#grants[instance]!
      .filter(({ untilMs }) => untilMs > atMs);
    this.#grants[instance] = grants;
    const usable = grants.filter(({ fromMs }) => fromMs <= atMs);
    const left = usable.reduce((sum, grant) => sum + grant.left, 0);
    if (left <= 0) return false;
    let unpaid = weight;
    usable.forEach((grant) => {
      const spent = Math.min(unpaid, Math.max(0, grant.left));
      grant.left -= spent;
      unpaid -= spent;
    });
    this.#debt[instance]! += unpaid;
    return true;
  }

  tick(nowMs: number): void {
    const { isStalled, isReachable } = this.#parts;
    const owner = 0;
    this.#requested.forEach((requested, at) => {
      this.#demand[at] = DEMAND_MEMORY * this.#demand[at]! +
        (1 - DEMAND_MEMORY) * requested;
      this.#requested[at] = 0;
    });
    if (isStalled(owner, nowMs)) return;
    const { burst, perSecond } = this.#limit;
    this.#tokens = Math.min(
      burst + perSecond * TICK_MS / 1_000,
      this.#tokens + perSecond * (nowMs - this.#atMs) / 1_000,
    );
    this.#atMs = nowMs;
    const demands = this.#demand.map((demand, at) =>
      isReachable(at, owner, nowMs) && !isStalled(at, nowMs) ? demand : 0
    );
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    if (total <= 0) return;
    const given = Math.min(this.#tokens, 1.5 * total);
    this.#tokens -= given;
    demands.forEach((demand, at) => {
      if (demand <= 0) return;
      this.sent += 2;
      const latencyMs = toRegionIndex(at) === toRegionIndex(owner) ? 4 : 110;
      if (!isReachable(owner, at, nowMs)) return;
      const granted = given * demand / total;
      const repaid = Math.min(granted, this.#debt[at]!);
      this.#debt[at]! -= repaid;
      this.#grants[at]!.push({
        left: granted - repaid,
        fromMs: nowMs + latencyMs,
        untilMs: nowMs + latencyMs + GRANT_MS,
      });
    });
  }

  restart(instance: number): void {
    this.#grants[instance] = [];
    this.#demand[instance] = 0;
    this.#debt[instance] = 0;
  }

  setLimit(limit: TeamLimit): void {
    this.#limit = limit;
  }
}
