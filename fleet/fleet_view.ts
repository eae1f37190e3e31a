import type { MemberCapacity } from "../capacity/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import {
  type FleetReport,
  isLeaving,
  type KnownState,
  type MemberGossip,
  type MemberRecord,
  type MemberState,
} from "./fleet_report.ts";
import type { RegionInstanceCount } from "../admission/mod.ts";
import { comparePositions } from "../store/mod.ts";
import type { LoadTracker } from "./load_tracker.ts";
import { TeamUsageTracker } from "./team_usage_tracker.ts";
import { type MemberEntry, MemberTable } from "./member_table.ts";
import type { ReportPeer } from "./plan_reports.ts";
import { LOCAL_MEMBER_TIMEOUT_MS } from "./summary_reception.ts";
import {
  pickRelays,
  pickRepresentatives,
  type RelayCandidate,
  RELAYS_PER_REGION,
} from "./pick_relays.ts";

/**
 * How much longer a member may have been silent than the member of its region last
 * known to run, to still be sent calls, in milliseconds: four reports. Delayed reports
 * of a region delay the gossip about all its members alike, whereas a stalled member
 * falls behind the others.
 */
export const MAX_LAG_MS = 600;
/**
 * How long the directory may name a leaving instance of a region in which no other
 * instance accepts calls, in milliseconds. A leaving instance accepts calls for 2.5 s,
 * and others learn a little later that it leaves. Calls that it refuses afterwards have
 * not run and may be retried.
 */
const LEAVING_LISTED_MS = 2_300;
/**
 * Time after the start during which an instance may not yet know all instances that
 * share limits with it, in milliseconds: two rounds of requests for members.
 */
const STARTUP_SETTLE_MS = 1_000;

/** A member that is considered live, with what is known of it. */
export interface MemberObservation extends ReportPeer {
  /** Sequence number of the last report received from the member itself; 0: none. */
  readonly sequence: number;
}

/** Constructor arguments of {@linkcode FleetView}. */
export interface FleetViewParts {
  readonly self: Omit<MemberRecord, "state">;
  readonly loads: LoadTracker;
  /** When this instance started, in milliseconds on its clock. Default: long ago. */
  readonly startMs?: number;
}

/**
 * Tracks which instances run in which region and the loads of servers, from the reports
 * of all instances. Reports with loads are sent to the whole region several times per
 * second and also serve as heartbeats: an instance that stops sending them is considered
 * dead.
 */
export class FleetView {
  /** Usage of teams as reported by other instances. */
  readonly teamUsage: TeamUsageTracker;
  readonly #self: Omit<MemberRecord, "state">;
  readonly #loads: LoadTracker;
  readonly #members: MemberTable;
  readonly #startMs: number;
  #registeredCount = 0;
  #state: MemberState = "starting";
  #unreachableServices: readonly string[] = [];
  #capacity: MemberCapacity | undefined;
  #leavingSinceMs: number | undefined;

  /** @param parts Record of this instance and the load tracker that reports update. */
  constructor(parts: FleetViewParts) {
    this.#self = parts.self;
    this.#members = new MemberTable(parts.self);
    this.#capacity = parts.self.capacity;
    this.#loads = parts.loads;
    this.teamUsage = new TeamUsageTracker(parts.self.region);
    this.#startMs = parts.startMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Record of this instance. */
  get self(): MemberRecord {
    const unreachableServices = this.#unreachableServices;
    const capacity = this.#capacity;
    return {
      ...this.#self,
      state: this.#state,
      ...(unreachableServices.length > 0 ? { unreachableServices } : {}),
      ...(capacity === undefined ? {} : { capacity }),
    };
  }

  /** Sets the capacity of this instance, which its reports name; `undefined`: unknown. */
  setCapacity(capacity: MemberCapacity | undefined): void {
    this.#capacity = capacity;
  }

  /** Sets the services whose servers all fail for this instance, which its reports name. */
  setUnreachableServices(services: readonly string[]): void {
    this.#unreachableServices = services;
  }

  /**
   * Sets the state of this instance, which all reports from now on contain.
   *
   * @param state New state.
   * @param nowMs Current time, in milliseconds; needed when the instance leaves.
   */
  setState(state: MemberState, nowMs?: number): void {
    this.#state = state;
    this.#leavingSinceMs = isLeaving(state) ? nowMs : undefined;
  }

  /** Returns the live members, without this instance. */
  listLive(nowMs: number): readonly MemberRecord[] {
    return this.#members.listLive(nowMs).map(({ member }) => member);
  }

  /**
   * Returns the members that may still send calls, without this instance: the live ones,
   * and those that became silent without having reported that they leave.
   */
  listPossiblyRunning(nowMs: number): readonly MemberRecord[] {
    return this.#members.entries.filter((entry) =>
      !isLeaving(entry.member.state) || this.#members.isLive(entry, nowMs)
    ).map(({ member }) => member);
  }

  /** Returns the live members with their states and how long each has been silent, for logs. */
  describe(nowMs: number): string {
    const own = `${this.#self.id} ${this.#state}`;
    const others = this.listObservations(nowMs).map(({ member, silentMs }) =>
      `${member.id} ${member.state} ${Math.round(silentMs)}`
    );
    return [own, ...others].join(", ");
  }

  /** Returns the other live members of the local region, with what is known of them. */
  listLocalObservations(nowMs: number): readonly MemberObservation[] {
    const { region } = this.#self;
    return this.listObservations(nowMs, region);
  }

  /** Whether summaries of the local region arrive in time. */
  hasSummaries(nowMs: number): boolean {
    return this.#members.summaries.isOnTime(nowMs);
  }

  /** Whether summaries arrived before, and none has for longer than the next aggregators need to begin. */
  hasLostSummaries(nowMs: number): boolean {
    return this.#members.summaries.isLost(nowMs);
  }

  /**
   * Returns the live members, without this instance, with what is known of them.
   *
   * @param nowMs Current time, in milliseconds.
   * @param region Region of the members. Default: all regions.
   */
  listObservations(
    nowMs: number,
    region?: RegionId,
  ): readonly MemberObservation[] {
    return this.#members.listLive(nowMs, region).map((
      { lastSeenMs, lastSummaryMs, member, sequence, wantsSummary },
    ) => ({
      member,
      sequence,
      wantsSummary,
      silentMs: nowMs - lastSeenMs,
      isAggregating: nowMs - lastSummaryMs < LOCAL_MEMBER_TIMEOUT_MS,
    }));
  }

  /** Returns the ready members of a region, including this instance. */
  listReady(region: RegionId, nowMs: number): readonly MemberRecord[] {
    const others = this.listLive(nowMs).filter((member) =>
      member.region === region && member.state === "ready"
    );
    const isSelf = this.#self.region === region && this.#state === "ready";
    return isSelf ? [this.self, ...others] : others;
  }

  /** Returns the members of a region, including this instance, that leave and still accept calls. */
  listLeaving(region: RegionId, nowMs: number): readonly MemberRecord[] {
    const own = { member: this.self, leavingSinceMs: this.#leavingSinceMs };
    const others = this.#members.listLive(nowMs, region);
    return [own, ...others].filter(({ leavingSinceMs, member }) =>
      member.region === region && leavingSinceMs !== undefined &&
      (member.state === "lingering" ||
        nowMs - leavingSinceMs < LEAVING_LISTED_MS)
    ).map(({ member }) => member);
  }

  /**
   * Returns the ready members of a remote region, without those that have been silent
   * for longer than the others. Such a member may have failed, though it is too early
   * to consider it dead.
   */
  listResponsive(region: RegionId, nowMs: number): readonly MemberRecord[] {
    const ready = this.#members.listLive(nowMs, region)
      .filter(({ member }) => member.state === "ready");
    const lastMs = Math.max(...ready.map(({ lastSeenMs }) => lastSeenMs));
    return ready.filter(({ lastSeenMs }) => lastMs - lastSeenMs < MAX_LAG_MS)
      .map(({ member }) => member);
  }

  /** Returns the regions with a known member. */
  listRegions(): readonly RegionId[] {
    const known = this.#members.entries.map(({ member }) => member.region);
    return [...new Set([this.#self.region, ...known])];
  }

  /** Version that grows with each change of the instances that share limits. */
  get membershipVersion(): number {
    return this.#members.version;
  }

  /** Whether this instance has run long enough to know the instances that share limits with it. */
  isSettled(nowMs: number): boolean {
    return nowMs - this.#startMs >= STARTUP_SETTLE_MS;
  }

  /**
   * Returns the instances that share a limit, including this one. Instances that have
   * become silent still count for a while: in a network partition, they continue to use
   * their shares.
   *
   * @param region Region of the instances. Default: all regions.
   */
  listInstancesSharingLimits(region?: RegionId): readonly InstanceId[] {
    return [
      this.#self,
      ...this.#members.entries.map(({ member }) => member),
    ]
      .filter((member) => region === undefined || member.region === region)
      .map(({ id }) => id);
  }

  /**
   * Returns the number of instances that share a limit, including this one. An instance
   * that has just started knows few others, so that the number for all regions is at
   * least that of the instances registered in the store.
   *
   * @param region Region of the instances. Default: all regions.
   */
  countInstancesSharingLimits(region?: RegionId): number {
    const known = Math.max(1, this.listInstancesSharingLimits(region).length);
    return region === undefined
      ? Math.max(known, this.#registeredCount)
      : known;
  }

  /**
   * Returns, for each region, the number of instances that share limits and how many of
   * them are live.
   */
  countInstancesByRegion(nowMs: number): readonly RegionInstanceCount[] {
    const counts = new Map([
      [this.#self.region, { known: 1, reporting: 1 }],
    ]);
    this.#members.entries.forEach((entry) => {
      const { region } = entry.member;
      const count = counts.get(region) ?? { known: 0, reporting: 0 };
      count.known++;
      if (this.#members.isLive(entry, nowMs)) count.reporting++;
      counts.set(region, count);
    });
    return [...counts].map(([region, count]) => ({ region, ...count }));
  }

  /** Number of instances with an entry in the store, as last set. */
  get registeredCount(): number {
    return this.#registeredCount;
  }

  /** Sets the number of instances with an entry in the store. */
  setRegisteredCount(count: number): void {
    this.#registeredCount = count;
  }

  /** Returns the number of live instances in all regions, including this one. */
  countLive(nowMs: number): number {
    return this.listLive(nowMs).length + 1;
  }

  /**
   * Returns the live instances that are more up to date with the store than this one:
   * first those of the same failure domain, then those of the same region.
   *
   * @param own How up to date this instance is.
   * @param nowMs Current time, in milliseconds.
   */
  listAhead(own: KnownState, nowMs: number): readonly MemberRecord[] {
    return this.#members.listLive(nowMs)
      .filter(({ known }) => known !== undefined && isAhead(known, own))
      .map(({ member }) => member)
      .sort((a, b) => this.#computeDistance(a) - this.#computeDistance(b));
  }

  /**
   * Whether this instance follows the store for its region.
   *
   * @param own How up to date this instance is with the store.
   * @param nowMs Current time, in milliseconds.
   */
  isRelay(own: KnownState, nowMs: number): boolean {
    const self = { member: this.self, isStoreLost: own.isStoreLost };
    const others = this.#members.listLive(nowMs, this.#self.region)
      .map(toRelayCandidate);
    return pickRelays([self, ...others])
      .some(({ id }) => id === this.#self.id);
  }

  /**
   * Returns the place of this instance among the relays of all regions: those that the store
   * answers come first, then by name.
   *
   * @param own How up to date this instance is with the store.
   * @param nowMs Current time, in milliseconds.
   */
  readRelayRank(own: KnownState, nowMs: number): number {
    const others = this.#members.listLive(nowMs).map(toRelayCandidate);
    const all = [
      { member: this.self, isStoreLost: own.isStoreLost },
      ...others,
    ];
    const relays = new Set(
      this.listRegions().flatMap((region) =>
        pickRelays(all.filter(({ member }) => member.region === region))
      ).map(({ id }) => id),
    );
    relays.add(this.#self.id);
    return all.filter(({ member }) => relays.has(member.id))
      .sort((a, b) =>
        Number(a.isStoreLost) - Number(b.isStoreLost) ||
        (a.member.id < b.member.id ? -1 : 1)
      )
      .findIndex(({ member }) => member.id === this.#self.id);
  }

  /**
   * Applies a received report.
   *
   * @param report Report of another instance.
   * @param nowMs Current time, in milliseconds.
   * @returns Whether the report is new; an old one changes nothing.
   */
  applyReport(report: FleetReport, nowMs: number): boolean {
    if (!this.#members.applyReport(report, nowMs)) return false;
    this.#applyLoads(report);
    return true;
  }

  /**
   * Applies gossip about another member.
   *
   * @param gossip The member's record and its age.
   * @param nowMs Current time, in milliseconds.
   */
  applyGossip(gossip: MemberGossip, nowMs: number): void {
    this.#members.applyGossip(gossip, nowMs);
  }

  /** Removes the loads and usage of dead members, and after a while the members themselves. */
  sweep(nowMs: number): void {
    if (this.#members.summaries.isOutdated(nowMs)) this.dropSummary();
    const liveRegions = new Set(
      this.listLive(nowMs).map(({ region }) => region),
    );
    this.#members.removeSilent(nowMs).forEach(({ id, region }) => {
      this.#loads.removeReport(id);
      this.teamUsage.removeInstance(id);
      if (liveRegions.has(region)) return;
      this.#loads.removeReport(toRegionReporter(region));
      this.teamUsage.removeRegion(region);
    });
  }

  /** Drops an aggregator's summary, so that the reports of the region's instances are used again. */
  dropSummary(): void {
    this.#loads.dropSummary();
    this.teamUsage.dropSummary();
  }

  /**
   * Returns the rank of this instance among the representatives of its region, from 0,
   * or `undefined` if it is not one of them.
   */
  readRepresentativeRank(nowMs: number): number | undefined {
    const rank = pickRepresentatives([this.self, ...this.listLocal(nowMs)])
      .findIndex(({ id }) => id === this.#self.id);
    return rank < 0 ? undefined : rank;
  }

  /**
   * Returns the members of remote regions that receive reports of the local region and
   * pass them on in their own regions.
   *
   * @param perRegion Number of members per region, at most that of its representatives.
   * @param nowMs Current time, in milliseconds.
   */
  listRemoteReceivers(
    perRegion: number,
    nowMs: number,
  ): readonly MemberRecord[] {
    const live = this.listLive(nowMs);
    const regions = new Set(live.map(({ region }) => region));
    regions.delete(this.#self.region);
    return [...regions].flatMap((region) =>
      pickRepresentatives(live.filter((member) => member.region === region))
        .slice(0, Math.min(perRegion, RELAYS_PER_REGION))
    );
  }

  /** Returns the other live members of the local region. */
  listLocal(nowMs: number): readonly MemberRecord[] {
    return this.#members.listLive(nowMs, this.#self.region)
      .map(({ member }) => member);
  }

  #applyLoads(report: FleetReport): void {
    const { from, loads, scope, teamUsage = [] } = report;
    const isLocal = from.region === this.#self.region;
    if (scope === "summary" && isLocal) {
      this.#loads.replaceSummary(loads, report.echo ?? 0);
      this.teamUsage.replaceSummary(teamUsage, report.echo ?? 0);
    }
    if (scope === "instance" && isLocal) {
      this.#loads.replaceReport(from.id, { scope, loads });
      this.teamUsage.replaceInstance(from.id, teamUsage);
    }
    // Two representatives report on a region: the later report replaces the earlier one.
    if (scope === "region" && !isLocal) {
      this.#loads.replaceReport(toRegionReporter(from.region), {
        scope,
        loads,
      });
      this.teamUsage.replaceRegion(from.region, teamUsage);
    }
  }

  /** Returns 0 for the same failure domain, 1 for the same region, 2 for a remote region. */
  #computeDistance({ failureDomain, region }: MemberRecord): number {
    if (region !== this.#self.region) return 2;
    return failureDomain === this.#self.failureDomain ? 0 : 1;
  }
}

/** Returns whether one instance is more up to date with the store than another one. */
export function isAhead(known: KnownState, own: KnownState): boolean {
  return known.configurationVersion > own.configurationVersion ||
    comparePositions(known.store, own.store) > 0;
}

function toRelayCandidate({ known, member }: MemberEntry): RelayCandidate {
  return { member, isStoreLost: known?.isStoreLost ?? false };
}

function toRegionReporter(region: RegionId): string {
  return `region ${region}`;
}
