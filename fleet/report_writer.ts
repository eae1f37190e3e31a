import type { FleetView, SeenMember } from "./fleet_view.ts";
import type {
  FleetReport,
  KnownState,
  MemberNews,
  ReportedLimit,
  ReportedPrefix,
} from "./fleet_report.ts";
import type { ReportedUse } from "../admission/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";
import type { LoadBoard } from "./load_board.ts";

/** Most members that one report names: it stays within one packet. */
const NEWS_PER_REPORT = 12;
/**
 * Most members that an answer to one who asks names, in three packets: whoever
 * has just started needs the whole of its region at once.
 */
const NEWS_PER_ANSWER = 36;
/** One report in so many names members: who runs changes seldom, loads often. */
const NEWS_EVERY_REPORTS = 4;
/**
 * Reports in which all members of the own region are named once: summaries, which
 * are all that most members hear of each other, and reports of the region. A
 * member is taken as gone after two rounds of summaries and more.
 */
const REPORTS_PER_ROUND = 3;

/** What reports are written from. */
export interface ReportWriterParts {
  readonly fleet: FleetView;
  readonly loads: LoadBoard;
  /** Returns what teams use at this instance. */
  readonly listUses: (nowMs: number) => readonly ReportedUse[];
  /** Returns what servers have said of their limits, here or in the region. */
  readonly listLimits: (
    scope: FleetReport["scope"],
    nowMs: number,
  ) => readonly ReportedLimit[];
}

/** What a report says beside loads and members. */
export interface ReportNews {
  /** What of the store is known here. */
  readonly known: KnownState;
  /** Prompt parts to tell. */
  readonly prefixes: readonly ReportedPrefix[];
  /** Calls under which servers ended. Default: none. */
  readonly ends?: readonly ReportedEnds[];
  readonly nowMs: number;
}

/** Optional parts of a report. */
export interface CreateReportOptions {
  /** Whether it names members now and then. Default: yes. */
  readonly namesMembers?: boolean;
  /** Whether it asks for summaries. Default: no. */
  readonly wantsSummary?: boolean;
}

/** Writes what this instance tells others. */
export class ReportWriter {
  readonly #parts: ReportWriterParts;
  #sequence = 0;
  #newsAt = 0;
  #nearNewsAt = 0;

  /** @param parts What is told. */
  constructor(parts: ReportWriterParts) {
    this.#parts = parts;
  }

  /**
   * Returns what to tell of the own calls.
   *
   * @param told What else it says.
   * @param options Whether it names members.
   */
  createReport(
    { ends = [], known, nowMs, prefixes }: ReportNews,
    { namesMembers = true, wantsSummary = false }: CreateReportOptions = {},
  ): FleetReport {
    const sequence = ++this.#sequence;
    const uses = this.#parts.listUses(nowMs);
    this.#parts.fleet.uses.remember(sequence, uses);
    const isTurn = namesMembers && sequence % NEWS_EVERY_REPORTS === 0;
    return {
      from: this.#parts.fleet.self,
      sequence,
      scope: "instance",
      known,
      loads: this.#parts.loads.takeOwn(sequence),
      prefixes,
      news: isTurn ? this.#pickNews(nowMs, NEWS_PER_REPORT) : [],
      ends,
      uses,
      limits: this.#parts.listLimits("instance", nowMs),
      wantsNews: false,
      wantsSummary,
    };
  }

  /** Returns what to tell an instance that asks who is there. */
  createAnswer(told: Omit<ReportNews, "prefixes">): FleetReport {
    return {
      ...this.createReport({ ...told, prefixes: [] }),
      news: this.#pickNews(told.nowMs, NEWS_PER_ANSWER),
    };
  }

  /**
   * Returns what to tell of all instances of the own region.
   *
   * @param scope Whether it goes to another region or into the own one.
   * @param told What else it says.
   */
  createSum(
    scope: "region" | "summary",
    { ends = [], known, nowMs, prefixes }: ReportNews,
  ): FleetReport {
    const near = this.#parts.fleet.listNearSeen(nowMs);
    const count = Math.max(
      NEWS_PER_REPORT,
      Math.ceil(near.length / REPORTS_PER_ROUND),
    );
    const news = pickInTurn(near, this.#nearNewsAt, count);
    this.#nearNewsAt += count;
    const { fleet, listLimits, listUses } = this.#parts;
    return {
      from: this.#parts.fleet.self,
      sequence: ++this.#sequence,
      scope,
      known,
      loads: this.#parts.loads.listNear(),
      prefixes,
      news: news.map(toNews),
      ends,
      uses: fleet.uses.listNear(listUses(nowMs)),
      limits: listLimits(scope, nowMs),
      wantsNews: false,
    };
  }

  /** Names live members in turn, so that all get around in a few reports. */
  #pickNews(nowMs: number, count: number): readonly MemberNews[] {
    const live = this.#parts.fleet.listSeen(nowMs);
    const picked = pickInTurn(live, this.#newsAt, count);
    this.#newsAt += count;
    return picked.map(toNews);
  }
}

function toNews({ member, silentMs }: SeenMember): MemberNews {
  return { member, ageMs: silentMs };
}

/** Returns so many entries of a list from a place on, past its end from the start. */
function pickInTurn<Entry>(
  list: readonly Entry[],
  place: number,
  count: number,
): readonly Entry[] {
  const start = list.length === 0 ? 0 : place % list.length;
  return [...list.slice(start), ...list.slice(0, start)].slice(0, count);
}
