import type { Clock, Random } from "../clock/mod.ts";
import { type RegionId, toIncarnation } from "../ids/mod.ts";
import type { RolloutReportScope } from "../rollouts/mod.ts";
import { REGIONS, type SimInstance } from "./rollouts_case.ts";

const REGION_DELAY_MS = 60;
const LOCAL_DELAY_MS = 10;

/** Reports between simulated instances, through two aggregators a region. */
export class SimReports {
  /** Region that is cut off from the others. Default: none. */
  cutRegion: RegionId | undefined;
  readonly #instances: readonly SimInstance[];
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #loss: number;

  constructor(
    instances: readonly SimInstance[],
    clock: Clock,
    random: Random,
    loss: number,
  ) {
    this.#instances = instances;
    this.#clock = clock;
    this.#random = random;
    this.#loss = loss;
  }

  #deliver(
    from: SimInstance,
    scope: RolloutReportScope,
    targets: readonly SimInstance[],
    delayMs: number,
  ): void {
    const reports = from.tracker.createReports(scope);
    const { id, incarnation, region } = from;
    targets.forEach((target) => {
      if (target === from || this.#random.nextFloat() < this.#loss) return;
      if (region !== target.region && this.#isCut(region, target.region)) {
        return;
      }
      this.#clock.schedule(delayMs, () => {
        target.heardMs = this.#clock.nowMs();
        target.tracker.mergeReports({
          instance: id,
          incarnation: toIncarnation(`${incarnation}`),
          region,
          scope,
        }, reports);
      });
    });
  }

  #isCut(a: RegionId, b: RegionId): boolean {
    return a === this.cutRegion || b === this.cutRegion;
  }

  /** Sends reports of instances to aggregators, and summaries of these to members. */
  sendLocally(): void {
    REGIONS.forEach((region) => {
      const members = this.#instances.filter((each) => each.region === region);
      const aggregators = members.filter(({ rank }) => rank < 2);
      members.forEach((member) =>
        this.#deliver(member, "instance", aggregators, LOCAL_DELAY_MS)
      );
      aggregators.forEach((each) =>
        this.#deliver(each, "summary", members, LOCAL_DELAY_MS)
      );
    });
  }

  /** Sends reports of regions to the representatives of other regions. */
  sendRegions(): void {
    const representatives = this.#instances.filter(({ rank }) => rank < 2);
    representatives.forEach((each) =>
      this.#deliver(
        each,
        "region",
        representatives.filter(({ region }) => region !== each.region),
        REGION_DELAY_MS,
      )
    );
  }
}
