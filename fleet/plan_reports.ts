import type { MemberRecord } from "./fleet_report.ts";
import { pickSpeakers } from "./pick_relays.ts";

/**
 * Most instances of a region that tell each other directly. Reports that all send
 * to all grow with the square of the region: 121.5 KB/s each at 65 instances, with
 * no call in flight. Above this number two instances sum them up.
 */
export const MOST_DIRECT = 4;
/**
 * Silence after which an aggregator is stood in for, in milliseconds: three
 * reports, less than the silence by which it is taken as gone.
 */
const AGGREGATOR_LATE_MS = 450;
/** Time without a summary after which a member asks for one, in milliseconds: three of them. */
export const SUMMARY_LATE_MS = 450;

/** A member of the own region that runs. */
export interface NearMember {
  readonly member: MemberRecord;
  /** Time since it was last known to run, in milliseconds. */
  readonly silentMs: number;
  /** Whether it has sent a summary lately. */
  readonly isAggregating: boolean;
  /** Whether it says that it gets no summaries. */
  readonly wantsSummary: boolean;
}

/** Whom an instance tells what inside its region. */
export interface ReportPlan {
  /** Members that get its own reports. */
  readonly reportTo: readonly MemberRecord[];
  /** Members that get what it has heard of all, summed up; none: it sums nothing up. */
  readonly summarizeFor: readonly MemberRecord[];
}

/** What a plan is made from. */
export interface ReportPlanParts {
  readonly self: MemberRecord;
  readonly near: readonly NearMember[];
  /** Whether this instance has heard enough to sum up, and has not been relieved. */
  readonly mayAggregate: boolean;
}

/** Whether a region is too large for reports from each to each. */
export function isLargeRegion(near: readonly NearMember[]): boolean {
  return near.length + 1 > MOST_DIRECT;
}

/**
 * Plans the reports inside a region. In a small one each tells each. In a large
 * one all tell the aggregators, which are the speakers of the region and stand in
 * different failure domains, and each of those tells the members of its own
 * domain: one hop more, messages by the number of members, few of them between
 * domains. A member without an aggregator in its domain, or with a late one, gets
 * summaries of the next.
 *
 * @param parts Who is there.
 */
export function planReports(
  { mayAggregate, near, self }: ReportPlanParts,
): ReportPlan {
  const others = near.map(({ member }) => member);
  // Whoever gets no summary is told by each that can, whatever the plan: views of
  // who is there differ, and links may be cut one way.
  const wanting = near.filter(({ wantsSummary }) => wantsSummary)
    .map(({ member }) => member);
  if (!isLargeRegion(near)) {
    return { reportTo: others, summarizeFor: mayAggregate ? wanting : [] };
  }
  const aggregators = pickSpeakers([self, ...others]);
  const isAggregator = (member: MemberRecord) =>
    aggregators.some(({ id }) => id === member.id);
  const reportTo = near.filter(({ isAggregating, member }) =>
    isAggregating || isAggregator(member)
  ).map(({ member }) => member);
  if (!mayAggregate) return { reportTo, summarizeFor: [] };
  const late = new Set(
    near.filter(({ silentMs }) => silentMs > AGGREGATOR_LATE_MS)
      .map(({ member }) => member.id),
  );
  const onTime = aggregators.filter(({ id }) => !late.has(id));
  // One that is relieved goes on until it hears a summary of who relieves it.
  const able = isAggregator(self) ? onTime : [self, ...onTime];
  const assigned = others.filter((member) =>
    !isAggregator(member) && pickAggregator(member, able)?.id === self.id
  );
  return { reportTo, summarizeFor: [...new Set([...assigned, ...wanting])] };
}

/** Returns who sums up for a member: the one in its failure domain, else the first. */
function pickAggregator(
  { failureDomain }: MemberRecord,
  able: readonly MemberRecord[],
): MemberRecord | undefined {
  return able.find((one) => one.failureDomain === failureDomain) ?? able[0];
}
