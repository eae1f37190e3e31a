import type { InstanceId, RegionId } from "../ids/mod.ts";
import {
  type FleetReport,
  isLeaving,
  type KnownState,
  type MemberGossip,
  type MemberRecord,
} from "./fleet_report.ts";
import {
  LOCAL_MEMBER_TIMEOUT_MS,
  SummaryReception,
} from "./summary_reception.ts";

/**
 * Silence after which a member of a remote region is considered dead, in
 * milliseconds: the silence for a local member, plus two reports of a region, since
 * gossip about its members waits for the next report.
 */
export const REMOTE_MEMBER_TIMEOUT_MS = 2_500;
/**
 * Silence after which a member is considered dead while no aggregator sends summaries,
 * in milliseconds. Without summaries, members of a large region receive no reports
 * about each other. Until the next aggregator has begun, which takes up to 1.7 s, they
 * must not consider each other dead, or the whole region loses its members. If the next
 * ones are dead as well, members report to all others from {@linkcode LOST_SUMMARIES_MS}
 * on, so that live ones are heard in time.
 */
const MAX_SILENCE_MS = 3_000;
/** Silence after which a member is removed, in milliseconds. */
const REMOVE_AFTER_MS = 30_000;

/** Time of an event that has not happened yet. */
const NEVER = Number.NEGATIVE_INFINITY;

/** What is known of another member. */
export interface MemberEntry {
  member: MemberRecord;
  /** When it was last known to run, in milliseconds on this instance's clock. */
  lastSeenMs: number;
  /** Sequence number of the last report from the member itself; older ones are dropped. */
  sequence: number;
  known: KnownState | undefined;
  /** When its last summary was received, in milliseconds on this instance's clock. */
  lastSummaryMs: number;
  /** Whether its last report said that it receives no summaries. */
  wantsSummary: boolean;
  /** Whether a summary has named it since the last report from the member itself. */
  isIndirect: boolean;
  /** Since when it has been known to leave, in milliseconds; `undefined`: it does not. */
  leavingSinceMs: number | undefined;
}

/** The other members of the fleet, as known from their reports and from gossip about them. */
export class MemberTable {
  /** Summaries of the local region. */
  readonly summaries = new SummaryReception();
  readonly #own: Pick<MemberRecord, "id" | "region">;
  readonly #entries = new Map<InstanceId, MemberEntry>();
  #version = 0;

  /** @param own Id and region of this instance, which has no entry. */
  constructor(own: Pick<MemberRecord, "id" | "region">) {
    this.#own = own;
  }

  /** Version that grows each time a member is added or removed. */
  get version(): number {
    return this.#version;
  }

  /** All known members. */
  get entries(): readonly MemberEntry[] {
    return [...this.#entries.values()];
  }

  /**
   * Returns the members that are considered live.
   *
   * @param nowMs Current time, in milliseconds.
   * @param region Region of the members. Default: all regions.
   */
  listLive(nowMs: number, region?: RegionId): readonly MemberEntry[] {
    return this.entries.filter((entry) =>
      (region === undefined || entry.member.region === region) &&
      this.isLive(entry, nowMs)
    );
  }

  /**
   * Applies a received report.
   *
   * @param report Report of another instance.
   * @param nowMs Current time, in milliseconds.
   * @returns Whether the report is new; an old one changes nothing.
   */
  applyReport(report: FleetReport, nowMs: number): boolean {
    const { from, sequence } = report;
    if (from.id === this.#own.id) return false;
    const entry = this.#entries.get(from.id);
    const isOld = entry !== undefined &&
      entry.member.incarnation === from.incarnation &&
      sequence <= entry.sequence;
    if (isOld) return false;
    if (entry === undefined) this.#version++;
    this.#entries.set(from.id, {
      member: from,
      lastSeenMs: nowMs,
      sequence,
      known: report.known,
      lastSummaryMs: report.scope === "summary"
        ? nowMs
        : entry?.lastSummaryMs ?? NEVER,
      wantsSummary: report.wantsSummary ?? false,
      isIndirect: false,
      leavingSinceMs: readLeavingSinceMs(entry, from, nowMs),
    });
    report.gossip.forEach((gossip) => this.applyGossip(gossip, nowMs));
    if (report.scope === "summary") this.#recordSummary(report, nowMs);
    return true;
  }

  /**
   * Applies gossip about another member.
   *
   * @param gossip The member's record and its age.
   * @param nowMs Current time, in milliseconds.
   */
  applyGossip(gossip: MemberGossip, nowMs: number): void {
    const { member, ageMs } = gossip;
    if (member.id === this.#own.id) return;
    const lastSeenMs = nowMs - ageMs;
    const entry = this.#entries.get(member.id);
    if (entry === undefined) {
      this.#version++;
      this.#entries.set(member.id, {
        member,
        lastSeenMs,
        sequence: 0,
        known: undefined,
        lastSummaryMs: NEVER,
        wantsSummary: false,
        isIndirect: false,
        leavingSinceMs: readLeavingSinceMs(undefined, member, lastSeenMs),
      });
      return;
    }
    if (lastSeenMs <= entry.lastSeenMs) return;
    const isRestarted = entry.member.incarnation !== member.incarnation;
    const hasLeft = isLeaving(entry.member.state) && !isRestarted;
    entry.lastSeenMs = lastSeenMs;
    if (isRestarted) entry.sequence = 0;
    // A member that leaves does not become ready again in the same incarnation.
    if (hasLeft && !isLeaving(member.state)) return;
    entry.leavingSinceMs = readLeavingSinceMs(entry, member, lastSeenMs);
    entry.member = member;
  }

  /**
   * Removes members that have been silent for long.
   *
   * @returns All members that are not live, also those that are kept for now.
   */
  removeSilent(nowMs: number): readonly MemberRecord[] {
    const dead = this.entries.filter((entry) => !this.isLive(entry, nowMs));
    dead.filter(({ lastSeenMs }) => nowMs - lastSeenMs > REMOVE_AFTER_MS)
      .forEach(({ member }) => {
        this.#entries.delete(member.id);
        this.#version++;
      });
    return dead.map(({ member }) => member);
  }

  /** Returns whether a member is considered live. */
  isLive(entry: MemberEntry, nowMs: number): boolean {
    const isLocal = entry.member.region === this.#own.region;
    const silentMs = nowMs - entry.lastSeenMs;
    if (
      silentMs < (isLocal ? LOCAL_MEMBER_TIMEOUT_MS : REMOTE_MEMBER_TIMEOUT_MS)
    ) return true;
    if (
      !isLocal || !entry.isIndirect || silentMs > MAX_SILENCE_MS
    ) return false;
    return this.summaries.isInconclusive(entry.lastSeenMs);
  }

  /** Records a summary, and which members it names. */
  #recordSummary({ gossip }: FleetReport, nowMs: number): void {
    this.summaries.record(nowMs);
    gossip.forEach(({ member: { id } }) => {
      const entry = this.#entries.get(id);
      if (entry !== undefined) entry.isIndirect = true;
    });
  }
}

/** Returns since when a member has been leaving, given its newest record. */
function readLeavingSinceMs(
  previous: MemberEntry | undefined,
  { incarnation, state }: MemberRecord,
  lastSeenMs: number,
): number | undefined {
  if (!isLeaving(state)) return undefined;
  const isSame = previous?.member.incarnation === incarnation;
  return (isSame ? previous?.leavingSinceMs : undefined) ?? lastSeenMs;
}
