import type { InstanceId, RegionId } from "../ids/mod.ts";
import { rankPhase } from "./compare_records.ts";
import type {
  RolloutFleet,
  RolloutPhase,
  RolloutReportOrigin,
} from "./rollout_types.ts";

/** How far an instance or a region has come with an order. */
export interface Progress {
  readonly phase: RolloutPhase;
  readonly previousCalls: number;
}

interface HeardProgress extends Progress {
  readonly heardMs: number;
}

/** What an instance is assumed to do that has not reported the order. */
const UNAWARE: Progress = { phase: "trial", previousCalls: 1 };

/** What instances and regions report of one order, to know when none uses old servers. */
export class MemberProgress {
  readonly #fleet: RolloutFleet;
  readonly #contactMs: number;
  readonly #instances = new Map<InstanceId, HeardProgress>();
  readonly #regions = new Map<RegionId, HeardProgress>();
  /** When an instance was first listed: silence counts from then on. */
  readonly #listedMs = new Map<InstanceId, number>();

  /**
   * @param fleet Instances of the deployment.
   * @param contactMs Silence after which an instance counts as unreachable.
   */
  constructor(fleet: RolloutFleet, contactMs: number) {
    this.#fleet = fleet;
    this.#contactMs = contactMs;
  }

  /** Records a report; one without the order comes from an instance unaware of it. */
  record(
    { instance, region, scope }: RolloutReportOrigin,
    progress: Progress | undefined,
    nowMs: number,
  ): void {
    const heard = { ...(progress ?? UNAWARE), heardMs: nowMs };
    if (scope === "instance") this.#instances.set(instance, heard);
    if (scope === "region" && region !== this.#fleet.region) {
      this.#regions.set(region, heard);
    }
  }

  /** Returns the earliest phase and the sum of calls of the reachable local instances. */
  combineRegion(own: Progress, nowMs: number): Progress {
    return this.#listLocal(nowMs).reduce((a, b) => ({
      phase: rankPhase(b.phase) < rankPhase(a.phase) ? b.phase : a.phase,
      previousCalls: a.previousCalls + b.previousCalls,
    }), own);
  }

  /** Returns whether no reachable instance uses servers of replaced versions. */
  isSettled(own: Progress, nowMs: number): boolean {
    // An instance that hears none must not take all others for dead.
    if (!this.#fleet.isInTouch(nowMs)) return false;
    const remoteRegions = new Set(
      this.#fleet.listMembers().map(({ region }) => region)
        .filter((region) => region !== this.#fleet.region),
    );
    const remote = [...remoteRegions].flatMap((region) =>
      this.#resolve(
        this.#regions.get(region),
        this.#regionSinceMs(region, nowMs),
        nowMs,
      )
    );
    return [own, ...this.#listLocal(nowMs), ...remote].every((
      { phase, previousCalls },
    ) => rankPhase(phase) >= rankPhase("switch") && previousCalls === 0);
  }

  /** Notes which instances exist, so that their silence is measured from now on. */
  observeMembers(nowMs: number): void {
    this.#fleet.listMembers().forEach(({ instance }) => {
      if (!this.#listedMs.has(instance)) this.#listedMs.set(instance, nowMs);
    });
  }

  #listLocal(nowMs: number): readonly Progress[] {
    this.observeMembers(nowMs);
    return this.#fleet.listMembers()
      .filter(({ instance, region }) =>
        region === this.#fleet.region && instance !== this.#fleet.instance
      )
      .flatMap(({ instance }) =>
        this.#resolve(
          this.#instances.get(instance),
          this.#listedMs.get(instance) ?? nowMs,
          nowMs,
        )
      );
  }

  /** Returns the progress of a source, or nothing if it has been silent for too long. */
  #resolve(
    heard: HeardProgress | undefined,
    sinceMs: number,
    nowMs: number,
  ): readonly Progress[] {
    const lastMs = Math.max(heard?.heardMs ?? sinceMs, sinceMs);
    if (nowMs - lastMs >= this.#contactMs) return [];
    return [heard ?? UNAWARE];
  }

  /** Returns since when an instance of a region has been listed at the longest. */
  #regionSinceMs(region: RegionId, nowMs: number): number {
    this.observeMembers(nowMs);
    return Math.min(
      ...this.#fleet.listMembers().filter((member) => member.region === region)
        .map(({ instance }) => this.#listedMs.get(instance) ?? nowMs),
    );
  }
}
