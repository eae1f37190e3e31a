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
  type LoadTracker,
  type MemberObservation,
  planReports,
  PrefixQueue,
  RELAYS_PER_REGION,
  type ReportedPrefix,
  type ReportPlan,
  ReportWriter,
  type SendReport,
} from "../fleet/mod.ts";
import type { ReportedTeamUsage } from "../admission/mod.ts";
import type { CallQuarantine } from "../quarantine/mod.ts";
import type { StateSource } from "../state/mod.ts";
import { CrashGossip } from "./crash_gossip.ts";
import type { LimitGossip } from "./limit_gossip.ts";
import { omitEvidence, type RolloutGossip } from "./rollout_gossip.ts";

/** Interval between reports to the own region, in milliseconds. */
const REPORT_INTERVAL_MS = 150;
/** Rounds of reports per report to other regions: traffic between regions is expensive. */
const ROUNDS_PER_REGION_REPORT = 2;
/**
 * Reports to other regions of which one is also sent by and to the second representative
 * of each region, so that callers don't notice the loss of either representative.
 */
const REGION_REPORTS_PER_REDUNDANT_REPORT = 4;
/**
 * Maximum number of shared prompt parts in one report of the region. They fit into two
 * packets, and 20 instances send about as many to their servers between two reports.
 */
const MAX_REGION_PREFIXES = 48;
/** Maximum number of prompt parts queued for reports of the region: what several engines have cached when an instance starts. */
const MAX_QUEUED_PREFIXES = 256;
/** Interval between attempts to reach instances of which only the address is known, in milliseconds. */
const CONTACT_INTERVAL_MS = 500;
/** Maximum number of addresses contacted at a time beside the seeds: many entries may be of dead instances. */
const MAX_CONTACTS_BESIDE_SEEDS = 4;
/**
 * Minimum time for which an instance has to be a representative of its region before it
 * sends summaries to others, in milliseconds. After two rounds it has received a report
 * of every member.
 */
const MIN_GATHER_MS = 2 * REPORT_INTERVAL_MS;

/** Constructor arguments of {@linkcode FleetReporter}. */
export interface FleetReporterParts {
  readonly clock: Clock;
  readonly random: Random;
  /** View of the instances, updated by received reports. */
  readonly fleet: FleetView;
  /** Loads of the servers. */
  readonly loads: LoadTracker;
  /** State of the store that this instance knows. */
  readonly state: Pick<StateSource, "known" | "instanceAddresses">;
  /** Addresses of a few instances, some of which may be dead. */
  readonly seedAddresses: readonly string[];
  /** Sends a report to addresses. */
  readonly sendReport: SendReport;
  /** Returns the prompt parts sent to servers since the last call. */
  readonly takeUnreportedPrefixes: () => readonly ReportedPrefix[];
  /** Records prompt parts that other instances have sent to servers. */
  readonly recordPrefixes: (prefixes: readonly ReportedPrefix[]) => void;
  /** Returns the usage of teams at this instance. Default: none, as no team has a limit. */
  readonly listTeamUsage?: (nowMs: number) => readonly ReportedTeamUsage[];
  /** Calls that servers had when they crashed, here or at other instances. */
  readonly quarantine: CallQuarantine;
  /** Limits that servers advertised. Default: none. */
  readonly limits?: Pick<LimitGossip, "recordReported" | "listReported">;
  /** Orders that run. Default: none. */
  readonly rollouts?: Pick<RolloutGossip, "recordReported" | "listReported">;
  /** Called after each round of reports. */
  readonly onRound: () => void;
  /** Called when another instance reports a newer state of the store. */
  readonly onNewState: () => void;
}

/**
 * Exchanges reports with other instances. Inside a region each instance sends to each
 * other one or, in a large region, to aggregators. Between regions the representatives of
 * each region send and receive.
 */
export class FleetReporter {
  readonly #parts: FleetReporterParts;
  readonly #writer: ReportWriter;
  /** Prompt parts that have not been reported to other regions. */
  readonly #regionPrefixes = new PrefixQueue(MAX_QUEUED_PREFIXES);
  /** Prompt parts that have not been sent in a summary. */
  readonly #summaryPrefixes = new PrefixQueue(MAX_QUEUED_PREFIXES);
  readonly #crashGossip: CrashGossip;
  #seedAddresses: readonly string[];
  #rounds = 0;
  #regionReports = 0;
  #representativeSinceMs: number | undefined;
  #isAggregating = false;
  #summarizedCount = 0;

  /** @param parts Ports and state to report. */
  constructor(parts: FleetReporterParts) {
    this.#parts = parts;
    this.#seedAddresses = parts.seedAddresses;
    this.#writer = new ReportWriter({
      listTeamUsage: () => [],
      listLimits: (scope, nowMs) =>
        parts.limits?.listReported(scope, nowMs) ?? [],
      listRollouts: (scope) => parts.rollouts?.listReported(scope) ?? [],
      ...parts,
    });
    this.#crashGossip = new CrashGossip(parts.quarantine);
  }

  /** Starts contacting other instances and sending reports, until the signal aborts. */
  start(signal: AbortSignal): void {
    const { clock } = this.#parts;
    this.#contactUnknownInstances();
    scheduleEvery(clock, REPORT_INTERVAL_MS, () => this.#runRound(), signal);
    scheduleEvery(
      clock,
      CONTACT_INTERVAL_MS,
      () => this.#contactUnknownInstances(),
      signal,
    );
  }

  /** Number of members that get summaries from this instance. */
  get summarizedCount(): number {
    return this.#summarizedCount;
  }

  /** Replaces the seed addresses. */
  setSeedAddresses(addresses: readonly string[]): void {
    this.#seedAddresses = addresses;
  }

  /** Queues prompt parts, which engines have cached, for the next reports. */
  addPrefixes(prefixes: readonly ReportedPrefix[]): void {
    this.#regionPrefixes.add(prefixes);
    if (this.#isAggregating) this.#summaryPrefixes.add(prefixes);
  }

  /** Sends a report to the own region at once. */
  reportToLocalRegion(): void {
    this.#reportToLocalRegion([]);
  }

  /** Sends reports to all regions at once. */
  reportToAllRegions(): void {
    this.#runRound();
    this.#reportToRemoteRegions(RELAYS_PER_REGION);
  }

  /**
   * Applies a report of another instance.
   *
   * @param report Received report.
   * @param from Address of the sender.
   */
  receive(report: FleetReport, from: string): void {
    const {
      clock,
      fleet,
      limits,
      recordPrefixes,
      rollouts,
      sendReport,
      state,
    } = this.#parts;
    const nowMs = clock.nowMs();
    if (fleet.applyReport(report, nowMs)) {
      recordPrefixes(report.prefixes);
      limits?.recordReported(report, nowMs);
      rollouts?.recordReported(report, nowMs);
      const isLocal = report.from.region === fleet.self.region;
      if (!isLocal) this.#forwardRegionReport(report, nowMs);
      else if (report.scope === "instance") this.addPrefixes(report.prefixes);
      const isFirsthand = isLocal && report.scope === "instance";
      this.#crashGossip.mergeReports(
        report.crashReports ?? [],
        nowMs,
        isFirsthand ? ["region", "summary"] : [],
      );
      // The search for instances that are ahead walks over all members, so it is left out
      // for the hundreds of reports a second that bring nothing new of the store.
      if (isAhead(report.known, state.known)) this.#parts.onNewState();
    }
    if (report.wantsGossip) {
      const { known } = state;
      const crashReports = this.#crashGossip.listForAnswer(nowMs);
      sendReport(this.#writer.createAnswer({ known, crashReports, nowMs }), [
        from,
      ]);
    }
  }

  #runRound(): void {
    const prefixes = this.#parts.takeUnreportedPrefixes();
    this.addPrefixes(prefixes);
    this.#crashGossip.gatherOwn(this.#parts.clock.nowMs());
    this.#reportToLocalRegion(prefixes);
    this.#rounds++;
    if (this.#rounds % ROUNDS_PER_REGION_REPORT === 0) {
      const isRedundant =
        this.#regionReports++ % REGION_REPORTS_PER_REDUNDANT_REPORT === 0;
      this.#reportToRemoteRegions(isRedundant ? RELAYS_PER_REGION : 1);
    }
    this.#parts.onRound();
  }

  #reportToLocalRegion(prefixes: readonly ReportedPrefix[]): void {
    const { clock, fleet, sendReport, state: { known } } = this.#parts;
    const nowMs = clock.nowMs();
    const localPeers = fleet.listLocalObservations(nowMs);
    const plan = this.#planReports(localPeers, nowMs);
    const usesAggregators = isLargeRegion(localPeers) && !this.#isAggregating;
    const crashReports = this.#crashGossip.takeForReport("local", nowMs);
    // If the aggregators and those next in rank die at once, nobody else tells the members
    // of each other.
    const reportTo = usesAggregators && fleet.hasLostSummaries(nowMs)
      ? localPeers.map(({ member }) => member)
      : plan.reportTo;
    sendReport(
      this.#writer.createReport({ crashReports, known, prefixes, nowMs }, {
        // Aggregators receive reports from the members themselves.
        includesMembers: !usesAggregators || plan.hasOtherAggregator,
        wantsSummary: usesAggregators && !fleet.hasSummaries(nowMs),
      }),
      toAddresses(reportTo),
    );
    this.#summarizedCount = plan.summarizeFor.length;
    if (this.#summarizedCount > 0) this.#sendSummaries(plan, localPeers, nowMs);
  }

  /** Plans the recipients of reports, and decides whether this instance is an aggregator. */
  #planReports(near: readonly MemberObservation[], nowMs: number): ReportPlan {
    const { fleet } = this.#parts;
    const isRepresentative = fleet.readRepresentativeRank(nowMs) !== undefined;
    if (isRepresentative) this.#representativeSinceMs ??= nowMs;
    else this.#representativeSinceMs = undefined;
    const hasGatheredReports = isRepresentative &&
      nowMs - this.#representativeSinceMs! >= MIN_GATHER_MS;
    const isReplaced = !isRepresentative &&
      near.some(({ isAggregating }) => isAggregating);
    const needsAggregators = isLargeRegion(near) ||
      near.some(({ wantsSummary }) => wantsSummary);
    this.#isAggregating = needsAggregators &&
      (hasGatheredReports || this.#isAggregating && !isReplaced);
    // An aggregator receives the reports of each instance itself.
    if (this.#isAggregating) this.#parts.fleet.dropSummary();
    return planReports({
      self: fleet.self,
      near,
      mayAggregate: this.#isAggregating,
    });
  }

  #sendSummaries(
    { summarizeFor }: ReportPlan,
    localPeers: readonly MemberObservation[],
    nowMs: number,
  ): void {
    const { sendReport, state: { known } } = this.#parts;
    const prefixes = this.#summaryPrefixes.take(MAX_REGION_PREFIXES);
    const crashReports = this.#crashGossip.takeForReport("summary", nowMs);
    const receivedSequences = new Map(
      localPeers.map(({ member, sequence }) => [member.id, sequence]),
    );
    sendReport(
      this.#writer.createAggregateReport("summary", {
        crashReports,
        known,
        prefixes,
        nowMs,
      }),
      toAddresses(summarizeFor),
      {
        echoes: summarizeFor.map(({ id }) => receivedSequences.get(id) ?? 0),
        isCompressed: true,
      },
    );
  }

  /**
   * Sends a report on the own region to the other regions.
   *
   * @param representativeCount Number of representatives of each region that send and receive.
   */
  #reportToRemoteRegions(representativeCount: number): void {
    const { clock, fleet, sendReport, state: { known } } = this.#parts;
    const nowMs = clock.nowMs();
    const rank = fleet.readRepresentativeRank(nowMs);
    if (rank === undefined || rank >= representativeCount) return;
    const receivers = fleet.listRemoteReceivers(representativeCount, nowMs);
    if (receivers.length === 0) return;
    const prefixes = this.#regionPrefixes.take(MAX_REGION_PREFIXES);
    const crashReports = this.#crashGossip.takeForReport("region", nowMs);
    sendReport(
      this.#writer.createAggregateReport("region", {
        crashReports,
        known,
        prefixes,
        nowMs,
      }),
      toAddresses(receivers),
      { isCompressed: isLargeRegion(fleet.listLocalObservations(nowMs)) },
    );
  }

  /**
   * Forwards the report of another region inside the own one: only the first
   * representative receives all reports of other regions. In a large region it sends them
   * to the other aggregators, and each aggregator to the members that it summarizes for.
   */
  #forwardRegionReport(report: FleetReport, nowMs: number): void {
    const { fleet, sendReport } = this.#parts;
    if (report.scope !== "region") return;
    // Most members forward nothing, and to rank or to plan costs them more than the report
    // itself; who represents the region is decided again in each round.
    const isRepresentative = this.#representativeSinceMs !== undefined;
    if (!isRepresentative && !this.#isAggregating) return;
    const isFirst = fleet.readRepresentativeRank(nowMs) === 0;
    const seen = fleet.listLocalObservations(nowMs);
    if (!isLargeRegion(seen)) {
      if (isFirst) sendReport(report, seen.map(({ member }) => member.address));
      return;
    }
    const plan = this.#planReports(seen, nowMs);
    const others = isFirst ? plan.reportTo : [];
    const options = { isCompressed: true };
    if (report.rollouts === undefined) {
      const receivers = [...others, ...plan.summarizeFor];
      sendReport(report, toAddresses(receivers), options);
      return;
    }
    // Only aggregators judge versions; members get the verdict.
    sendReport(report, toAddresses(others), options);
    sendReport(omitEvidence(report), toAddresses(plan.summarizeFor), options);
  }

  /** Contacts instances of which only the address is known, and asks which members they know. */
  #contactUnknownInstances(): void {
    const { clock, fleet, random, sendReport, state } = this.#parts;
    const nowMs = clock.nowMs();
    const live = new Set(toAddresses(fleet.listLive(nowMs)));
    const isUnknown = (address: string) =>
      address !== fleet.self.address && !live.has(address);
    const registered = state.instanceAddresses.filter(isUnknown);
    const picked = Array.from(
      { length: MAX_CONTACTS_BESIDE_SEEDS },
      () => pickRandom(registered, random) ?? [],
    ).flat();
    const seeds = this.#seedAddresses.filter(isUnknown);
    const contacted = [...new Set([...seeds, ...picked])];
    if (contacted.length === 0) return;
    const report = this.#writer.createReport({
      known: state.known,
      prefixes: [],
      nowMs,
    });
    sendReport({ ...report, wantsGossip: true }, contacted);
  }
}

function toAddresses(
  members: readonly { readonly address: string }[],
): readonly string[] {
  return members.map(({ address }) => address);
}
