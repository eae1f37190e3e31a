import type { FleetReport, MemberRecord } from "../fleet/mod.ts";

/**
 * Returns a report without loads, prefixes or gossip.
 *
 * @param from Record of the reporting instance.
 * @param sequence Sequence number of the report.
 * @param overrides Fields that differ from this.
 */
export function createReport(
  from: MemberRecord,
  sequence: number,
  overrides: Partial<FleetReport> = {},
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
    gossip: [],
    wantsGossip: false,
    ...overrides,
  };
}
