import type {
  RegionTeamUsage,
  ReportedTeamUsage,
  TeamUsage,
} from "../admission/mod.ts";
import type { RegionId, TeamId } from "../ids/mod.ts";
import { RememberedReports } from "./remembered_reports.ts";

type UsageByTeam = ReadonlyMap<TeamId, TeamUsage>;

const NO_USAGE: UsageByTeam = new Map();

/**
 * Tracks the usage of teams that other instances report. The last report of an
 * instance counts until the next one, or until the instance is considered dead: an
 * instance whose reports are lost is assumed to continue at the same rate.
 */
export class TeamUsageTracker {
  readonly #ownRegion: RegionId;
  readonly #reportedOwn = new RememberedReports<UsageByTeam>();
  /** Usage by the other instances of the local region, by instance id. */
  readonly #local = new Map<string, UsageByTeam>();
  /**
   * Usage of the local region as summarized by an aggregator, without that of this
   * instance. Used in place of the reports of the region's instances.
   */
  #summary: UsageByTeam | undefined;
  readonly #regions = new Map<RegionId, UsageByTeam>();

  /** @param ownRegion Region of this instance. */
  constructor(ownRegion: RegionId) {
    this.#ownRegion = ownRegion;
  }

  /**
   * Remembers the usage in a report of this instance, for summaries that include it.
   *
   * @param sequence Sequence number of the report.
   * @param usage Usage that it contains.
   */
  remember(sequence: number, usage: readonly ReportedTeamUsage[]): void {
    this.#reportedOwn.remember(sequence, toUsageByTeam(usage));
  }

  /** Returns the usage of a team by the other instances, by region. */
  readOthers(team: TeamId): readonly RegionTeamUsage[] {
    const local = this.#summary === undefined
      ? [...this.#local.values()].map((usage) => usage.get(team))
      : [this.#summary.get(team)];
    const own = sumUsage(local.filter((teamUsage) => teamUsage !== undefined));
    const remote = [...this.#regions].flatMap(([region, usage]) => {
      const teamUsage = usage.get(team);
      return teamUsage === undefined ? [] : [{ region, ...teamUsage }];
    });
    return [{ region: this.#ownRegion, ...own }, ...remote];
  }

  /**
   * Returns the usage by all instances of the local region, summed by team.
   *
   * @param own Usage at this instance.
   */
  sumLocal(own: readonly ReportedTeamUsage[]): readonly ReportedTeamUsage[] {
    const all = [toUsageByTeam(own), ...this.#local.values()];
    const teams = new Set(all.flatMap((usage) => [...usage.keys()]));
    return [...teams].map((team) => ({
      team,
      ...sumUsage(
        all.map((usage) => usage.get(team)).filter((teamUsage) =>
          teamUsage !== undefined
        ),
      ),
    }));
  }

  /** Replaces the last usage reported by an instance of the local region. */
  replaceInstance(reporter: string, usage: readonly ReportedTeamUsage[]): void {
    this.#local.set(reporter, toUsageByTeam(usage));
  }

  /** Replaces the last usage reported for a remote region. */
  replaceRegion(region: RegionId, usage: readonly ReportedTeamUsage[]): void {
    this.#regions.set(region, toUsageByTeam(usage));
  }

  /**
   * Replaces the last summary of the local region.
   *
   * @param usage Usage by all instances of the region, including this one.
   * @param sequence Sequence number of this instance's report that the usage includes; 0: none.
   */
  replaceSummary(usage: readonly ReportedTeamUsage[], sequence: number): void {
    const own = this.#reportedOwn.find(sequence) ?? NO_USAGE;
    this.#summary = new Map(usage.map(({ demand, team, used }) => {
      const ownUsage = own.get(team);
      return [team, {
        used: Math.max(0, used - (ownUsage?.used ?? 0)),
        demand: Math.max(0, demand - (ownUsage?.demand ?? 0)),
      }];
    }));
  }

  /** Drops the summary, so that the reports of the local region's instances are used again. */
  dropSummary(): void {
    this.#summary = undefined;
  }

  /** Removes the last usage reported by an instance of the local region. */
  removeInstance(reporter: string): void {
    this.#local.delete(reporter);
  }

  /** Removes the last usage reported for a remote region. */
  removeRegion(region: RegionId): void {
    this.#regions.delete(region);
  }
}

function toUsageByTeam(usage: readonly ReportedTeamUsage[]): UsageByTeam {
  return new Map(
    usage.map(({ demand, team, used }) => [team, { demand, used }]),
  );
}

function sumUsage(usage: readonly TeamUsage[]): TeamUsage {
  return usage.reduce(
    (sum, { demand, used }) => ({
      used: sum.used + used,
      demand: sum.demand + demand,
    }),
    { used: 0, demand: 0 },
  );
}
