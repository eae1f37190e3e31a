import { TeamLimits } from "../admission/mod.ts";
import { toInstanceId } from "../ids/mod.ts";
import type { TeamLimit } from "../teams/mod.ts";
import {
  type LimitArrival,
  LIMITED_TEAM,
  type LimitFleet,
  type LimitFleetParts,
} from "./limit_fleet.ts";

/** Number of instances that hold the base shares of a limit. */
const HOLDER_COUNT = 3;

/** Fleet in which three instances hold the limit and lend the weight that they do not need. */
export class LoansFleet implements LimitFleet {
  sent = 0;
  readonly #parts: LimitFleetParts;
  readonly #limits: TeamLimits[];
  #limit: TeamLimit;

  /** @param parts Size and limit of the fleet, and the state of its instances and network. */
  constructor(parts: LimitFleetParts) {
    this.#parts = parts;
    this.#limit = parts.limit;
    this.#limits = Array.from(
      { length: parts.instances },
      (_, at) => this.#create(at, -60_000),
    );
  }

  admit({ atMs, instance, weight }: LimitArrival): boolean {
    const limits = this.#limits[instance]!;
    return limits.admit(LIMITED_TEAM, this.#limit.perSecond, atMs, weight) ===
      undefined;
  }

  tick(nowMs: number): void {
    const { isStalled, isReachable } = this.#parts;
    this.#limits.forEach((limits, at) => {
      if (isStalled(at, nowMs)) return;
      limits.listShortfalls(nowMs).forEach(({ wanted }) => {
        for (let lender = 0; lender < HOLDER_COUNT; lender++) {
          const isLenderAvailable = isReachable(at, lender, nowMs) &&
            isReachable(lender, at, nowMs) && !isStalled(lender, nowMs);
          if (lender === at) continue;
          this.sent++;
          if (!isLenderAvailable) continue;
          const from = toInstanceId(`${at}`);
          const request = {
            team: LIMITED_TEAM,
            wanted: wanted / HOLDER_COUNT,
            from,
          };
          const loan = this.#limits[lender]!
            .lend(request, this.#limit.perSecond, nowMs);
          limits.recordLoan(`${lender}`, loan, { askedMs: nowMs, nowMs });
        }
      });
    });
  }

  restart(instance: number, nowMs: number): void {
    this.#limits[instance] = this.#create(instance, nowMs);
  }

  setLimit(limit: TeamLimit): void {
    this.#limit = limit;
  }

  #create(instance: number, startedMs: number): TeamLimits {
    return new TeamLimits({
      startedMs,
      readBaseShare: () => instance < HOLDER_COUNT ? 1 / HOLDER_COUNT : 0,
      isJoining: () => startedMs > 0,
    });
  }
}
