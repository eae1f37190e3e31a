import {
  type Clock,
  pickRandom,
  type Random,
  scheduleEvery,
} from "../clock/mod.ts";
import {
  type FleetReport,
  type FleetView,
  isAhead,
  isLargeRegion,
  type LoadBoard,
  planReports,
  PrefixQueue,
  RELAYS_PER_REGION,
  type ReportedPrefix,
  type ReportPlan,
  ReportWriter,
  type SeenMember,
  type SendReport,
} from "../fleet/mod.ts";
import type { ReportedUse } from "../admission/mod.ts";
import type { CallQuarantine } from "../quarantine/mod.ts";
import type { StateSource } from "../state/mod.ts";
import { EndsNews } from "./ends_news.ts";
import type { LimitNews } from "./limit_news.ts";

/** Pause between reports to the own region, in milliseconds: several a second. */
const REPORT_INTERVAL_MS = 150;
/** One report of the region to the others in so many reports: bytes between regions are dear. */
const REGION_REPORT_EVERY = 2;
/**
 * One report of the region in so many goes from and to the second instance that
 * speaks for a region as well, so that either can be lost unnoticed by callers.
 */
const SECOND_REPORTER_EVERY = 4;
/**
 * Shared prompt parts that one report of the region names at the most, two
 * packets: what 20 instances send to their servers meanwhile.
 */
const MAX_REGION_PREFIXES = 48;
/** Prompt parts that wait for reports of the region at the most: what several engines hold after a start. */
const MAX_WAITING_PREFIXES = 256;
/** Pause between attempts to reach instances that are known by address only, in milliseconds. */
const CONTACT_INTERVAL_MS = 500;
/** Addresses that are greeted at a time beside the seeds: many entries may be of instances that are gone. */
const GREETED_AT_ONCE = 4;
/**
 * Time that an instance has to be one of the speakers of its region before it sums
 * up for others, in milliseconds: in two rounds all have told it what they do.
 */
const GATHER_BEFORE_SUMMARY_MS = 2 * REPORT_INTERVAL_MS;

/** What a reporter tells from, and who hears what it is told. */
export interface FleetReporterParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: FleetView;
  readonly loads: LoadBoard;
  readonly state: Pick<StateSource, "known" | "instanceAddresses">;
  /** Addresses of a few instances; they may be gone. */
  readonly seedAddresses: readonly string[];
  readonly sendReport: SendReport;
  /** Returns the prompt parts sent since the last call. */
  readonly takePrefixes: () => readonly ReportedPrefix[];
  /** Takes prompt parts that other instances have sent. */
  readonly learnPrefixes: (prefixes: readonly ReportedPrefix[]) => void;
  /** Returns what teams use at this instance. Default: no team has a limit. */
  readonly listUses?: (nowMs: number) => readonly ReportedUse[];
  /** Calls under which servers ended, here or elsewhere. */
  readonly quarantine: CallQuarantine;
  /** Limits that servers name. Default: none. */
  readonly limits?: Pick<LimitNews, "learn" | "list">;
  /** Called with each own round of reports. */
  readonly onRound: () => void;
  /** Called when another instance says that it knows more of the store. */
  readonly onNewState: () => void;
}

/**
 * Tells other instances what this one does and knows, and takes what they tell:
 * inside the region each to each, or in a large one by way of aggregators, and
 * between regions by way of those that speak for them.
 */
export class FleetReporter {
  readonly #parts: FleetReporterParts;
  readonly #writer: ReportWriter;
  /** Prompt parts that other regions have not heard of. */
  readonly #regionPrefixes = new PrefixQueue(MAX_WAITING_PREFIXES);
  /** Prompt parts that the members summed up for have not heard of. */
  readonly #summaryPrefixes = new PrefixQueue(MAX_WAITING_PREFIXES);
  readonly #ends: EndsNews;
  #seedAddresses: readonly string[];
  #rounds = 0;
  #regionReports = 0;
  #speakerSinceMs: number | undefined;
  #isAggregating = false;
  #summarizedCount = 0;

  /** @param parts State and ports. */
  constructor(parts: FleetReporterParts) {
    this.#parts = parts;
    this.#seedAddresses = parts.seedAddresses;
    this.#writer = new ReportWriter({
      listUses: () => [],
      listLimits: (scope, nowMs) => parts.limits?.list(scope, nowMs) ?? [],
      ...parts,
    });
    this.#ends = new EndsNews(parts.quarantine);
  }

  /** Greets others, and tells them what happens, until the signal aborts. */
  start(signal: AbortSignal): void {
    const { clock } = this.#parts;
    this.#contactOthers();
    scheduleEvery(clock, REPORT_INTERVAL_MS, () => this.#report(), signal);
    scheduleEvery(
      clock,
      CONTACT_INTERVAL_MS,
      () => this.#contactOthers(),
      signal,
    );
  }

  /** Members that get summaries from this instance. */
  get summarizedCount(): number {
    return this.#summarizedCount;
  }

  /** Takes other addresses to begin at. */
  setSeedAddresses(addresses: readonly string[]): void {
    this.#seedAddresses = addresses;
  }

  /** Takes prompt parts that engines hold, to be told with the next reports. */
  addPrefixes(prefixes: readonly ReportedPrefix[]): void {
    this.#regionPrefixes.add(prefixes);
    if (this.#isAggregating) this.#summaryPrefixes.add(prefixes);
  }

  /** Tells the own region at once what is known here. */
  tellNear(): void {
    this.#tellNear([]);
  }

  /** Tells all regions at once. */
  tellAll(): void {
    this.#report();
    this.#reportRegion(RELAYS_PER_REGION);
  }

  /**
   * Takes a report of another instance.
   *
   * @param report As received.
   * @param from Address of its sender.
   */
  receive(report: FleetReport, from: string): void {
    const { clock, fleet, learnPrefixes, limits, sendReport, state } =
      this.#parts;
    const nowMs = clock.nowMs();
    if (fleet.applyReport(report, nowMs)) {
      learnPrefixes(report.prefixes);
      limits?.learn(report, nowMs);
      const isNear = report.from.region === fleet.self.region;
      if (!isNear) this.#passOn(report, nowMs);
      else if (report.scope === "instance") this.addPrefixes(report.prefixes);
      const isOwnWord = isNear && report.scope === "instance";
      this.#ends.learn(
        report.ends ?? [],
        nowMs,
        isOwnWord ? ["region", "summary"] : [],
      );
      // Looking for who is ahead walks over all members: hundreds of reports a second
      // say nothing new of the store.
      if (isAhead(report.known, state.known)) this.#parts.onNewState();
    }
    if (report.wantsNews) {
      const { known } = state;
      const ends = this.#ends.listForAnswer(nowMs);
      sendReport(this.#writer.createAnswer({ known, ends, nowMs }), [from]);
    }
  }

  #report(): void {
    const prefixes = this.#parts.takePrefixes();
    this.addPrefixes(prefixes);
    this.#ends.gather(this.#parts.clock.nowMs());
    this.#tellNear(prefixes);
    this.#rounds++;
    if (this.#rounds % REGION_REPORT_EVERY === 0) {
      const isForBoth = this.#regionReports++ % SECOND_REPORTER_EVERY === 0;
      this.#reportRegion(isForBoth ? RELAYS_PER_REGION : 1);
    }
    this.#parts.onRound();
  }

  #tellNear(prefixes: readonly ReportedPrefix[]): void {
    const { clock, fleet, sendReport, state: { known } } = this.#parts;
    const nowMs = clock.nowMs();
    const near = fleet.listNearSeen(nowMs);
    const plan = this.#plan(near, nowMs);
    const isSummedUp = isLargeRegion(near) && !this.#isAggregating;
    const ends = this.#ends.take("near", nowMs);
    sendReport(
      this.#writer.createReport({ ends, known, prefixes, nowMs }, {
        // Aggregators hear of members from the members themselves.
        namesMembers: !isSummedUp,
        wantsSummary: isSummedUp && !fleet.hasSummaries(nowMs),
      }),
      toAddresses(plan.reportTo),
    );
    this.#summarizedCount = plan.summarizeFor.length;
    if (this.#summarizedCount > 0) this.#summarize(plan, near, nowMs);
  }

  /** Plans who is told, and notes whether this instance sums up for others. */
  #plan(near: readonly SeenMember[], nowMs: number): ReportPlan {
    const { fleet } = this.#parts;
    const isSpeaker = fleet.readReporterRank(nowMs) !== undefined;
    if (isSpeaker) this.#speakerSinceMs ??= nowMs;
    else this.#speakerSinceMs = undefined;
    const hasGathered = isSpeaker &&
      nowMs - this.#speakerSinceMs! >= GATHER_BEFORE_SUMMARY_MS;
    const isRelieved = !isSpeaker &&
      near.some(({ isAggregating }) => isAggregating);
    const isWanted = isLargeRegion(near) ||
      near.some(({ wantsSummary }) => wantsSummary);
    this.#isAggregating = isWanted &&
      (hasGathered || this.#isAggregating && !isRelieved);
    // Who sums up hears of each instance itself.
    if (this.#isAggregating) this.#parts.fleet.dropSummary();
    return planReports({
      self: fleet.self,
      near,
      mayAggregate: this.#isAggregating,
    });
  }

  #summarize(
    { summarizeFor }: ReportPlan,
    near: readonly SeenMember[],
    nowMs: number,
  ): void {
    const { sendReport, state: { known } } = this.#parts;
    const prefixes = this.#summaryPrefixes.take(MAX_REGION_PREFIXES);
    const ends = this.#ends.take("summary", nowMs);
    const heard = new Map(
      near.map(({ member, sequence }) => [member.id, sequence]),
    );
    sendReport(
      this.#writer.createSum("summary", { ends, known, prefixes, nowMs }),
      toAddresses(summarizeFor),
      {
        echoes: summarizeFor.map(({ id }) => heard.get(id) ?? 0),
        isCompressed: true,
      },
    );
  }

  /**
   * Tells the other regions of the own one.
   *
   * @param reporters How many instances of each region speak and are spoken to.
   */
  #reportRegion(reporters: number): void {
    const { clock, fleet, sendReport, state: { known } } = this.#parts;
    const nowMs = clock.nowMs();
    const rank = fleet.readReporterRank(nowMs);
    if (rank === undefined || rank >= reporters) return;
    const far = fleet.listReceivers(reporters, nowMs);
    if (far.length === 0) return;
    const prefixes = this.#regionPrefixes.take(MAX_REGION_PREFIXES);
    const ends = this.#ends.take("region", nowMs);
    sendReport(
      this.#writer.createSum("region", { ends, known, prefixes, nowMs }),
      toAddresses(far),
      { isCompressed: isLargeRegion(fleet.listNearSeen(nowMs)) },
    );
  }

  /**
   * Tells the own region what another one reports: only its first reporter hears of
   * all. In a large region it tells the other aggregators, and each tells those
   * that it sums up for.
   */
  #passOn(report: FleetReport, nowMs: number): void {
    const { fleet, sendReport } = this.#parts;
    if (report.scope !== "region") return;
    const isFirst = fleet.readReporterRank(nowMs) === 0;
    const near = fleet.listNearSeen(nowMs);
    if (!isLargeRegion(near)) {
      if (isFirst) sendReport(report, near.map(({ member }) => member.address));
      return;
    }
    const plan = this.#plan(near, nowMs);
    const others = isFirst ? plan.reportTo : [];
    sendReport(report, toAddresses([...others, ...plan.summarizeFor]), {
      isCompressed: true,
    });
  }

  /** Greets instances that are known by address only, and asks whom they know. */
  #contactOthers(): void {
    const { clock, fleet, random, sendReport, state } = this.#parts;
    const nowMs = clock.nowMs();
    const live = new Set(toAddresses(fleet.listLive(nowMs)));
    const isUnknown = (address: string) =>
      address !== fleet.self.address && !live.has(address);
    const named = state.instanceAddresses.filter(isUnknown);
    const picked = Array.from(
      { length: GREETED_AT_ONCE },
      () => pickRandom(named, random) ?? [],
    ).flat();
    const seeds = this.#seedAddresses.filter(isUnknown);
    const greeted = [...new Set([...seeds, ...picked])];
    if (greeted.length === 0) return;
    const report = this.#writer.createReport({
      known: state.known,
      prefixes: [],
      nowMs,
    });
    sendReport({ ...report, wantsNews: true }, greeted);
  }
}

function toAddresses(
  members: readonly { readonly address: string }[],
): readonly string[] {
  return members.map(({ address }) => address);
}
