import type { FleetView, MemberObservation } from "./fleet_view.ts";
import type {
  FleetReport,
  KnownState,
  MemberGossip,
  ReportedLimit,
  ReportedPrefix,
} from "./fleet_report.ts";
import type { ReportedTeamUsage } from "../admission/mod.ts";
import type { CrashReport } from "../quarantine/mod.ts";
import type { RolloutReport } from "../rollouts/mod.ts";
import type { LoadTracker } from "./load_tracker.ts";

/** Maximum number of members named in a report, so that the report fits into one packet. */
const MAX_GOSSIP_PER_REPORT = 12;
/**
 * Maximum number of members named in an answer to a request for members, which fits
 * into three packets. An instance that has just started needs all members of its region
 * at once.
 */
const MAX_GOSSIP_PER_ANSWER = 36;
/** Number of reports of which one names members: members change rarely, loads often. */
const GOSSIP_INTERVAL_REPORTS = 4;
/**
 * Number of reports that together name all members of the local region, for summaries
 * and for reports to other regions. Summaries are the only source from which most
 * members of a large region learn of each other. A member is considered dead only after
 * more than two rounds of summaries that do not name it.
 */
const REPORTS_PER_ROUND = 3;

/** Constructor arguments of {@linkcode ReportWriter}. */
export interface ReportWriterParts {
  readonly fleet: FleetView;
  readonly loads: LoadTracker;
  /** Returns the usage of teams at this instance. */
  readonly listTeamUsage: (nowMs: number) => readonly ReportedTeamUsage[];
  /** Returns the limits that servers have advertised, to this instance or in its region. */
  readonly listLimits: (
    scope: FleetReport["scope"],
    nowMs: number,
  ) => readonly ReportedLimit[];
  /** Returns the orders that run, with the evidence that a scope contains. */
  readonly listRollouts: (
    scope: FleetReport["scope"],
  ) => readonly RolloutReport[];
}

/** Content of a report besides loads and members. */
export interface ReportContent {
  /** How up to date this instance is with the store. */
  readonly known: KnownState;
  /** Prompt parts to report. */
  readonly prefixes: readonly ReportedPrefix[];
  /** Reports of server crashes during calls. Default: none. */
  readonly crashReports?: readonly CrashReport[];
  /** Current time, in milliseconds. */
  readonly nowMs: number;
}

/** Options for {@linkcode ReportWriter.createReport}. */
export interface CreateReportOptions {
  /** Whether every few reports name members. Default: yes. */
  readonly includesMembers?: boolean;
  /** Whether the report requests summaries. Default: no. */
  readonly wantsSummary?: boolean;
}

/** Creates the reports that this instance sends to others. */
export class ReportWriter {
  readonly #parts: ReportWriterParts;
  #sequence = 0;
  #gossipOffset = 0;
  #localGossipOffset = 0;

  /** @param parts Sources of the reports' contents. */
  constructor(parts: ReportWriterParts) {
    this.#parts = parts;
  }

  /**
   * Returns a report of this instance's own calls.
   *
   * @param input Content besides loads and members.
   * @param options Whether it names members and requests summaries.
   */
  createReport(
    { crashReports = [], known, nowMs, prefixes }: ReportContent,
    { includesMembers = true, wantsSummary = false }: CreateReportOptions = {},
  ): FleetReport {
    const sequence = ++this.#sequence;
    const teamUsage = this.#parts.listTeamUsage(nowMs);
    this.#parts.fleet.teamUsage.remember(sequence, teamUsage);
    const includesGossip = includesMembers &&
      sequence % GOSSIP_INTERVAL_REPORTS === 0;
    return {
      from: this.#parts.fleet.self,
      sequence,
      scope: "instance",
      known,
      loads: this.#parts.loads.recordOwn(sequence),
      prefixes,
      gossip: includesGossip
        ? this.#pickGossip(nowMs, MAX_GOSSIP_PER_REPORT)
        : [],
      crashReports,
      teamUsage,
      limits: this.#parts.listLimits("instance", nowMs),
      rollouts: this.#parts.listRollouts("instance"),
      wantsGossip: false,
      wantsSummary,
    };
  }

  /** Returns a report that answers a request for the known members. */
  createAnswer(content: Omit<ReportContent, "prefixes">): FleetReport {
    return {
      ...this.createReport({ ...content, prefixes: [] }),
      gossip: this.#pickGossip(content.nowMs, MAX_GOSSIP_PER_ANSWER),
    };
  }

  /**
   * Returns a report of all instances of the local region.
   *
   * @param scope `region` for a report to another region, `summary` for one to members of
   * the local region.
   * @param input Content besides loads and members.
   */
  createAggregateReport(
    scope: "region" | "summary",
    { crashReports = [], known, nowMs, prefixes }: ReportContent,
  ): FleetReport {
    const localMembers = this.#parts.fleet.listLocalObservations(nowMs);
    const count = Math.max(
      MAX_GOSSIP_PER_REPORT,
      Math.ceil(localMembers.length / REPORTS_PER_ROUND),
    );
    const picked = pickRoundRobin(localMembers, this.#localGossipOffset, count);
    this.#localGossipOffset += count;
    const { fleet, listLimits, listRollouts, listTeamUsage } = this.#parts;
    return {
      from: this.#parts.fleet.self,
      sequence: ++this.#sequence,
      scope,
      known,
      loads: this.#parts.loads.sumLocal(),
      prefixes,
      gossip: picked.map(toGossip),
      crashReports,
      teamUsage: fleet.teamUsage.sumLocal(listTeamUsage(nowMs)),
      limits: listLimits(scope, nowMs),
      rollouts: listRollouts(scope),
      wantsGossip: false,
    };
  }

  /** Picks live members in round-robin order, so that a few reports name all of them. */
  #pickGossip(nowMs: number, count: number): readonly MemberGossip[] {
    const live = this.#parts.fleet.listObservations(nowMs);
    const picked = pickRoundRobin(live, this.#gossipOffset, count);
    this.#gossipOffset += count;
    return picked.map(toGossip);
  }
}

function toGossip({ member, silentMs }: MemberObservation): MemberGossip {
  return { member, ageMs: silentMs };
}

/** Returns up to `count` entries of a list from an offset on, wrapping around at its end. */
function pickRoundRobin<Entry>(
  list: readonly Entry[],
  offset: number,
  count: number,
): readonly Entry[] {
  const start = list.length === 0 ? 0 : offset % list.length;
  return [...list.slice(start), ...list.slice(0, start)].slice(0, count);
}
