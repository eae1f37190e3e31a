import type { InstanceId, RegionId } from "../ids/mod.ts";
import {
  type FleetReport,
  isLeaving,
  type KnownState,
  type MemberNews,
  type MemberRecord,
  type MemberState,
} from "./fleet_report.ts";
import type { RegionCount } from "../admission/mod.ts";
import { comparePositions } from "../store/mod.ts";
import type { LoadBoard } from "./load_board.ts";
import { UseBoard } from "./use_board.ts";
import { type NearMember, SUMMARY_LATE_MS } from "./plan_reports.ts";
import {
  pickRelays,
  pickSpeakers,
  type RelayCandidate,
  RELAYS_PER_REGION,
} from "./pick_relays.ts";

/**
 * Silence after which a member of the own region is taken as gone, in
 * milliseconds: eight reports in a row.
 */
export const NEAR_SILENCE_MS = 1_200;
/**
 * Silence after which a member of another region is taken as gone: the same,
 * and two reports of a region between which its news wait.
 */
export const FAR_SILENCE_MS = 2_500;
/**
 * Silence after which a member is taken as gone though nobody is there to tell of
 * it, in milliseconds. Without summaries, members of a large region hear nothing of
 * each other: before the next aggregator has begun, which takes up to 1.7 s, they
 * must not take each other as gone, or the region falls apart.
 */
const UNTOLD_SILENCE_MS = 4_000;
/** Pause between summaries from which on members are judged anew, in milliseconds: four of them. */
const SUMMARY_PAUSE_MS = 600;
/**
 * How much longer than the last one heard of its region a member may have been
 * silent to be sent calls, in milliseconds: four reports. News of a whole region
 * come late together; a member that stands still falls behind the others.
 */
export const BEHIND_MS = 600;
/**
 * How long the directory may name an instance that leaves, where no other of its
 * region takes calls, in milliseconds. It takes calls for 2.5 s, and is heard to
 * leave a little later. What it refuses after that has not run and may come again.
 */
const LEAVING_NAMED_MS = 2_300;
/** Silence after which a member is forgotten, in milliseconds. */
const FORGET_MS = 30_000;
/**
 * Time after the start in which an instance does not yet count on knowing who
 * shares bounds with it, in milliseconds: two rounds of greetings.
 */
const SETTLE_MS = 1_000;

/** When what has not happened yet did, on any clock. */
const NEVER = Number.NEGATIVE_INFINITY;

/** A member that is taken as running. */
export interface SeenMember extends NearMember {
  /** Number of the last report that it sent here itself; 0: none. */
  readonly sequence: number;
}

interface Seen {
  member: MemberRecord;
  /** When it was last known to run, on the own clock. */
  heardMs: number;
  /** Sequence of its last own report, which lets older ones be dropped. */
  sequence: number;
  known: KnownState | undefined;
  /** When its last summary came, on the own clock. */
  summaryMs: number;
  /** Whether it said in its last report that it gets no summaries. */
  wantsSummary: boolean;
  /** Whether the last word of it came in a summary. */
  isTold: boolean;
  /** When it was first heard to leave; `undefined`: it does not. */
  leavingSinceMs: number | undefined;
}

/** What a view is created from. */
export interface FleetViewParts {
  readonly self: Omit<MemberRecord, "state">;
  readonly loads: LoadBoard;
  /** When this instance started, on the own clock. Default: long ago. */
  readonly startMs?: number;
}

/**
 * Who runs where and how loaded the servers are, from the reports of all
 * instances. Reports that carry loads to the whole region several times a
 * second serve as heartbeats, too: their silence is the sign of a failure.
 */
export class FleetView {
  /** What the other instances say of the use of teams. */
  readonly uses: UseBoard;
  readonly #self: Omit<MemberRecord, "state">;
  readonly #loads: LoadBoard;
  readonly #seen = new Map<InstanceId, Seen>();
  readonly #startMs: number;
  /** Since when summaries have come without a gap, and the last of them. */
  #summaries = { sinceMs: NEVER, lastMs: NEVER };
  #membershipVersion = 0;
  #namedCount = 0;
  #state: MemberState = "starting";
  #leavingSinceMs: number | undefined;

  /** @param parts Own record and the board that reports feed. */
  constructor(parts: FleetViewParts) {
    this.#self = parts.self;
    this.#loads = parts.loads;
    this.uses = new UseBoard(parts.self.region);
    this.#startMs = parts.startMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Own record. */
  get self(): MemberRecord {
    return { ...this.#self, state: this.#state };
  }

  /**
   * Says from now on in each report whether this instance takes calls.
   *
   * @param state What it does.
   * @param nowMs Time now, needed for one that leaves.
   */
  setState(state: MemberState, nowMs?: number): void {
    this.#state = state;
    this.#leavingSinceMs = isLeaving(state) ? nowMs : undefined;
  }

  /** Returns the members that are taken as running, without this one. */
  listLive(nowMs: number): readonly MemberRecord[] {
    return [...this.#seen.values()].filter((seen) => this.#isLive(seen, nowMs))
      .map(({ member }) => member);
  }

  /** Returns who is taken as running, what each does and for how long it has been silent, for logs. */
  describe(nowMs: number): string {
    const own = `${this.#self.id} ${this.#state}`;
    const others = this.listSeen(nowMs).map(({ member, silentMs }) =>
      `${member.id} ${member.state} ${Math.round(silentMs)}`
    );
    return [own, ...others].join(", ");
  }

  /** Returns the other members of the own region that are taken as running, with what is known of them. */
  listNearSeen(nowMs: number): readonly SeenMember[] {
    return this.listSeen(nowMs)
      .filter(({ member }) => member.region === this.#self.region);
  }

  /** Whether summaries of the own region come as often as they should. */
  hasSummaries(nowMs: number): boolean {
    return nowMs - this.#summaries.lastMs < SUMMARY_LATE_MS;
  }

  /** Returns the members that are taken as running, with what is known of them. */
  listSeen(nowMs: number): readonly SeenMember[] {
    return [...this.#seen.values()].filter((seen) => this.#isLive(seen, nowMs))
      .map(({ heardMs, member, sequence, summaryMs, wantsSummary }) => ({
        member,
        sequence,
        wantsSummary,
        silentMs: nowMs - heardMs,
        isAggregating: nowMs - summaryMs < NEAR_SILENCE_MS,
      }));
  }

  /** Returns the members of a region that take calls, this one included. */
  listReady(region: RegionId, nowMs: number): readonly MemberRecord[] {
    const others = this.listLive(nowMs).filter((member) =>
      member.region === region && member.state === "ready"
    );
    const isSelf = this.#self.region === region && this.#state === "ready";
    return isSelf ? [this.self, ...others] : others;
  }

  /** Returns the members of a region, this one included, that leave and still take calls. */
  listLeaving(region: RegionId, nowMs: number): readonly MemberRecord[] {
    const own = { member: this.self, leavingSinceMs: this.#leavingSinceMs };
    const others = [...this.#seen.values()].filter((seen) =>
      this.#isLive(seen, nowMs)
    );
    return [own, ...others].filter(({ leavingSinceMs, member }) =>
      member.region === region && leavingSinceMs !== undefined &&
      (member.state === "lingering" ||
        nowMs - leavingSinceMs < LEAVING_NAMED_MS)
    ).map(({ member }) => member);
  }

  /**
   * Returns the members of another region that take calls, without those that
   * fell behind the others: they may have stopped, though it is too early to take
   * them as gone.
   */
  listFresh(region: RegionId, nowMs: number): readonly MemberRecord[] {
    const ready = [...this.#seen.values()].filter((seen) =>
      seen.member.region === region && seen.member.state === "ready" &&
      this.#isLive(seen, nowMs)
    );
    const lastMs = Math.max(...ready.map(({ heardMs }) => heardMs));
    return ready.filter(({ heardMs }) => lastMs - heardMs < BEHIND_MS)
      .map(({ member }) => member);
  }

  /** Returns the regions of which a member is known. */
  listRegions(): readonly RegionId[] {
    const known = [...this.#seen.values()].map(({ member }) => member.region);
    return [...new Set([this.#self.region, ...known])];
  }

  /** Grows with each change of who shares bounds. */
  get membershipVersion(): number {
    return this.#membershipVersion;
  }

  /** Whether this instance has run long enough to know who shares bounds with it. */
  isSettled(nowMs: number): boolean {
    return nowMs - this.#startMs >= SETTLE_MS;
  }

  /**
   * Returns the instances that share a bound, in a region or everywhere. Who fell
   * silent still counts for a while: behind a cut it uses its share, too.
   */
  listSharing(region?: RegionId): readonly InstanceId[] {
    return [this.#self, ...[...this.#seen.values()].map(({ member }) => member)]
      .filter((member) => region === undefined || member.region === region)
      .map(({ id }) => id);
  }

  /**
   * Number of instances that share a bound, in a region or everywhere. Whoever
   * has just started has heard of few: everywhere counts those that the store
   * names, too.
   */
  countSharing(region?: RegionId): number {
    const known = Math.max(1, this.listSharing(region).length);
    return region === undefined ? Math.max(known, this.#namedCount) : known;
  }

  /** Returns how many instances of each region share bounds, and how many of them run. */
  countRegions(nowMs: number): readonly RegionCount[] {
    const seen = [...this.#seen.values()];
    return this.listRegions().map((region) => {
      const own = region === this.#self.region ? 1 : 0;
      const members = seen.filter(({ member }) => member.region === region);
      const heard = members.filter((member) => this.#isLive(member, nowMs));
      return {
        region,
        known: own + members.length,
        heard: own + heard.length,
      };
    });
  }

  /** Number of instances that have an entry in the store, as it was told last. */
  get namedCount(): number {
    return this.#namedCount;
  }

  /** Takes the number of instances that have an entry in the store. */
  setNamedCount(count: number): void {
    this.#namedCount = count;
  }

  /** Number of instances that run anywhere. */
  countAll(nowMs: number): number {
    return this.listLive(nowMs).length + 1;
  }

  /**
   * Returns the instances that know more of the store than this one, those on the
   * shortest way first.
   */
  listAhead(own: KnownState, nowMs: number): readonly MemberRecord[] {
    return [...this.#seen.values()]
      .filter((seen) => this.#isLive(seen, nowMs))
      .filter(({ known }) => known !== undefined && isAhead(known, own))
      .map(({ member }) => member)
      .sort((a, b) => this.#computeDistance(a) - this.#computeDistance(b));
  }

  /**
   * Whether this instance follows the store for its region.
   *
   * @param own What it knows of the store.
   * @param nowMs Time now.
   */
  isRelay(own: KnownState, nowMs: number): boolean {
    const self = { member: this.self, isStoreLost: own.isStoreLost };
    const others = [...this.#seen.values()].filter((seen) =>
      seen.member.region === this.#self.region && this.#isLive(seen, nowMs)
    ).map(({ member, known }): RelayCandidate => ({
      member,
      isStoreLost: known?.isStoreLost ?? false,
    }));
    return pickRelays([self, ...others])
      .some(({ id }) => id === this.#self.id);
  }

  /**
   * Takes a report.
   *
   * @param report From another instance.
   * @param nowMs Time now.
   * @returns Whether it is new; an old one changes nothing.
   */
  applyReport(report: FleetReport, nowMs: number): boolean {
    const { from, sequence } = report;
    if (from.id === this.#self.id) return false;
    const seen = this.#seen.get(from.id);
    const isOld = seen !== undefined &&
      seen.member.incarnation === from.incarnation && sequence <= seen.sequence;
    if (isOld) return false;
    if (seen === undefined) this.#membershipVersion++;
    this.#seen.set(from.id, {
      member: from,
      heardMs: nowMs,
      sequence,
      known: report.known,
      summaryMs: report.scope === "summary" ? nowMs : seen?.summaryMs ?? NEVER,
      wantsSummary: report.wantsSummary ?? false,
      isTold: false,
      leavingSinceMs: readLeavingSinceMs(seen, from, nowMs),
    });
    report.news.forEach((news) => this.applyNews(news, nowMs));
    if (report.scope === "summary") this.#noteSummary(report, nowMs);
    this.#applyLoads(report);
    return true;
  }

  /**
   * Takes what is said of a third instance.
   *
   * @param news The member and how old the word is.
   * @param nowMs Time now.
   */
  applyNews(news: MemberNews, nowMs: number): void {
    const { member, ageMs } = news;
    if (member.id === this.#self.id) return;
    const heardMs = nowMs - ageMs;
    const seen = this.#seen.get(member.id);
    if (seen === undefined) {
      this.#membershipVersion++;
      this.#seen.set(member.id, {
        member,
        heardMs,
        sequence: 0,
        known: undefined,
        summaryMs: NEVER,
        wantsSummary: false,
        isTold: false,
        leavingSinceMs: readLeavingSinceMs(undefined, member, heardMs),
      });
      return;
    }
    if (heardMs <= seen.heardMs) return;
    const isRestarted = seen.member.incarnation !== member.incarnation;
    const hasLeft = isLeaving(seen.member.state) && !isRestarted;
    seen.heardMs = heardMs;
    if (isRestarted) seen.sequence = 0;
    // Who says itself that it leaves does not come back in the same incarnation.
    if (hasLeft && !isLeaving(member.state)) return;
    seen.leavingSinceMs = readLeavingSinceMs(seen, member, heardMs);
    seen.member = member;
  }

  /** Drops the loads of members that fell silent, and forgets them after a while. */
  sweep(nowMs: number): void {
    if (nowMs - this.#summaries.lastMs >= NEAR_SILENCE_MS) {
      this.dropSummary();
    }
    this.#seen.forEach((seen, id) => {
      if (this.#isLive(seen, nowMs)) return;
      this.#loads.removeReport(id);
      this.uses.removeInstance(id);
      if (!this.#hasReporter(seen.member.region, nowMs)) {
        this.#loads.removeReport(toRegionReporter(seen.member.region));
        this.uses.removeRegion(seen.member.region);
      }
      if (nowMs - seen.heardMs <= FORGET_MS) return;
      this.#seen.delete(id);
      this.#membershipVersion++;
    });
  }

  /** Goes back from the sums of an aggregator to what instances say themselves. */
  dropSummary(): void {
    this.#loads.dropSummary();
    this.uses.dropSummary();
  }

  /**
   * Returns this instance's place among those that speak for its region, from 0,
   * or `undefined` where it is none of them.
   */
  readReporterRank(nowMs: number): number | undefined {
    const rank = pickSpeakers([this.self, ...this.listNear(nowMs)])
      .findIndex(({ id }) => id === this.#self.id);
    return rank < 0 ? undefined : rank;
  }

  /**
   * Returns the members of other regions that reports of this one go to. They
   * pass them on in their regions.
   *
   * @param perRegion How many in each region, up to those that speak for it.
   * @param nowMs Time now.
   */
  listReceivers(perRegion: number, nowMs: number): readonly MemberRecord[] {
    const live = this.listLive(nowMs);
    const regions = new Set(live.map(({ region }) => region));
    regions.delete(this.#self.region);
    return [...regions].flatMap((region) =>
      pickSpeakers(live.filter((member) => member.region === region))
        .slice(0, Math.min(perRegion, RELAYS_PER_REGION))
    );
  }

  /** Returns the other members of the own region that are taken as running. */
  listNear(nowMs: number): readonly MemberRecord[] {
    return this.listLive(nowMs)
      .filter(({ region }) => region === this.#self.region);
  }

  /** Notes who is known to run by way of an aggregator, and for how long without a gap. */
  #noteSummary({ news }: FleetReport, nowMs: number): void {
    const isSeries = nowMs - this.#summaries.lastMs < SUMMARY_PAUSE_MS;
    const sinceMs = isSeries ? this.#summaries.sinceMs : nowMs;
    this.#summaries = { sinceMs, lastMs: nowMs };
    news.forEach(({ member: { id } }) => {
      const seen = this.#seen.get(id);
      if (seen !== undefined) seen.isTold = true;
    });
  }

  #applyLoads(report: FleetReport): void {
    const { from, loads, scope, uses = [] } = report;
    const isNear = from.region === this.#self.region;
    if (scope === "summary" && isNear) {
      this.#loads.replaceSummary(loads, report.echo ?? 0);
      this.uses.replaceSummary(uses, report.echo ?? 0);
    }
    if (scope === "instance" && isNear) {
      this.#loads.replaceReport(from.id, { scope, loads });
      this.uses.replaceInstance(from.id, uses);
    }
    // Two instances report one region: the later report replaces the earlier.
    if (scope === "region" && !isNear) {
      this.#loads.replaceReport(toRegionReporter(from.region), {
        scope,
        loads,
      });
      this.uses.replaceRegion(from.region, uses);
    }
  }

  #hasReporter(region: RegionId, nowMs: number): boolean {
    return this.listLive(nowMs).some((member) => member.region === region);
  }

  #isLive(seen: Seen, nowMs: number): boolean {
    const isNear = seen.member.region === this.#self.region;
    const silentMs = nowMs - seen.heardMs;
    if (silentMs < (isNear ? NEAR_SILENCE_MS : FAR_SILENCE_MS)) return true;
    if (!isNear || !seen.isTold || silentMs > UNTOLD_SILENCE_MS) return false;
    const { lastMs, sinceMs } = this.#summaries;
    return lastMs - Math.max(sinceMs, seen.heardMs) < NEAR_SILENCE_MS;
  }

  /** 0: the same failure domain; 1: the same region; 2: another one. */
  #computeDistance({ failureDomain, region }: MemberRecord): number {
    if (region !== this.#self.region) return 2;
    return failureDomain === this.#self.failureDomain ? 0 : 1;
  }
}

/** Returns since when a member leaves, after one more word of it. */
function readLeavingSinceMs(
  before: Seen | undefined,
  { incarnation, state }: MemberRecord,
  heardMs: number,
): number | undefined {
  if (!isLeaving(state)) return undefined;
  const isSame = before?.member.incarnation === incarnation;
  return (isSame ? before?.leavingSinceMs : undefined) ?? heardMs;
}

/** Whether an instance knows more of the store than another one. */
export function isAhead(known: KnownState, own: KnownState): boolean {
  return known.configurationVersion > own.configurationVersion ||
    comparePositions(known.store, own.store) > 0;
}

function toRegionReporter(region: RegionId): string {
  return `region ${region}`;
}
