import type { FleetReport, MemberRecord } from "../fleet/mod.ts";

/**
 * Returns a report of an instance that has nothing to tell.
 *
 * @param from Whose.
 * @param sequence Its number.
 * @param more What it tells all the same.
 */
export function createReport(
  from: MemberRecord,
  sequence: number,
  more: Partial<FleetReport> = {},
): FleetReport {
  return {
    from,
    sequence,
    scope: "instance",
    known: {
      configurationVersion: 1,
      store: { era: 0, revision: 5 },
      isStoreLost: false,
    },
    loads: [],
    prefixes: [],
    news: [],
    wantsNews: false,
    ...more,
  };
}
