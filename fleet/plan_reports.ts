import type { MemberRecord } from "./fleet_report.ts";
import { pickRepresentatives } from "./pick_relays.ts";

/**
 * Maximum size of a region whose instances all report to each other directly. The
 * traffic of such reports grows with the square of the region's size: 121.5 KB/s per
 * instance at 65 instances, with no call in flight. In larger regions two instances
 * summarize the reports.
 */
export const MAX_DIRECT_INSTANCES = 4;
/**
 * Silence after which another instance takes over from an aggregator, in milliseconds:
 * three reports. Shorter than the silence after which a member is considered dead.
 */
const AGGREGATOR_TIMEOUT_MS = 450;
/**
 * Time without a summary after which a member requests one, in milliseconds: three
 * summary intervals.
 */
export const SUMMARY_TIMEOUT_MS = 450;

/** A live member, with the state that report planning needs. */
export interface ReportPeer {
  readonly member: MemberRecord;
  /** Time since it was last known to run, in milliseconds. */
  readonly silentMs: number;
  /** Whether it has sent a summary recently. */
  readonly isAggregating: boolean;
  /** Whether it reports that it receives no summaries. */
  readonly wantsSummary: boolean;
}

/** Receivers of an instance's reports within its region. */
export interface ReportPlan {
  /** Members that receive the instance's own reports. */
  readonly reportTo: readonly MemberRecord[];
  /** Members that receive its summaries of the region; empty: it sends no summaries. */
  readonly summarizeFor: readonly MemberRecord[];
  /**
   * Whether a member sends summaries that should not by this plan. It may not know the
   * aggregators, and learns of them from reports that name members.
   */
  readonly hasOtherAggregator: boolean;
}

/** Arguments of {@linkcode planReports}. */
export interface ReportPlanParts {
  readonly self: MemberRecord;
  /** Other live members of the local region. */
  readonly near: readonly ReportPeer[];
  /**
   * Whether this instance has received enough reports to summarize, and no other one has
   * taken over.
   */
  readonly mayAggregate: boolean;
}

/**
 * Returns whether a region is too large for all instances to report to each other directly.
 *
 * @param peers Live members of the region, without this instance.
 */
export function isLargeRegion(peers: readonly ReportPeer[]): boolean {
  return peers.length + 1 > MAX_DIRECT_INSTANCES;
}

/**
 * Plans the reports within a region. In a small region each instance reports to all
 * others. In a large one all report to the aggregators, which are the region's
 * representatives and run in different failure domains, and each aggregator sends
 * summaries to the members of its own domain. This takes one more hop, but the number
 * of messages grows linearly with the region, and few of them cross domains. A member
 * whose domain has no aggregator, or a late one, gets its summaries from the next
 * aggregator.
 *
 * @param parts This instance and the other live members of its region.
 */
export function planReports(
  { mayAggregate, near: peers, self }: ReportPlanParts,
): ReportPlan {
  const others = peers.map(({ member }) => member);
  // Members without summaries receive them from each instance that may aggregate,
  // whatever the plan: instances may know different members, and links may fail in one
  // direction.
  const requesting = peers.filter(({ wantsSummary }) => wantsSummary)
    .map(({ member }) => member);
  if (!isLargeRegion(peers)) {
    return {
      reportTo: others,
      summarizeFor: mayAggregate ? requesting : [],
      hasOtherAggregator: false,
    };
  }
  const aggregators = pickRepresentatives([self, ...others]);
  const isAggregator = (member: MemberRecord) =>
    aggregators.some(({ id }) => id === member.id);
  const reportTo = peers.filter(({ isAggregating, member }) =>
    isAggregating || isAggregator(member)
  ).map(({ member }) => member);
  const hasOtherAggregator = peers.some(({ isAggregating, member }) =>
    isAggregating && !isAggregator(member)
  );
  if (!mayAggregate) {
    return { reportTo, summarizeFor: [], hasOtherAggregator };
  }
  const late = new Set(
    peers.filter(({ silentMs }) => silentMs > AGGREGATOR_TIMEOUT_MS)
      .map(({ member }) => member.id),
  );
  const onTime = aggregators.filter(({ id }) => !late.has(id));
  // An aggregator that is replaced continues until it receives a summary of its
  // successor.
  const isReplaced = !isAggregator(self);
  const candidates = isReplaced ? [self, ...onTime] : onTime;
  // Its successors get its summaries too: until all members report to them, they know only
  // from summaries who is live, and would rank the members in another order than others.
  const assigned = others.filter((member) =>
    (isReplaced || !isAggregator(member)) &&
    pickAggregator(member, candidates)?.id === self.id
  );
  const summarizeFor = [...new Set([...assigned, ...requesting])];
  return { reportTo, summarizeFor, hasOtherAggregator };
}

/** Returns the aggregator for a member: the one in its failure domain, or else the first. */
function pickAggregator(
  { failureDomain }: MemberRecord,
  candidates: readonly MemberRecord[],
): MemberRecord | undefined {
  return candidates.find((one) => one.failureDomain === failureDomain) ??
    candidates[0];
}
