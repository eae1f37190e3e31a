import { type BenchResult, toCell } from "./bench_case.ts";
import { LIMIT_CASES, runLimitCase } from "./limit_cases.ts";
import type { LimitFleet, LimitFleetParts } from "./limit_fleet.ts";
import { GrantsFleet } from "./grants_fleet.ts";
import { LoansFleet } from "./loans_fleet.ts";
import { SharesFleet } from "./shares_fleet.ts";
import { SumsFleet } from "./sums_fleet.ts";

const SIZES = [3, 9, 24, 74, 195, 300];
const METHODS: Readonly<
  Record<string, (parts: LimitFleetParts) => LimitFleet>
> = {
  shares: (parts) => new SharesFleet(parts),
  loans: (parts) => new LoansFleet(parts),
  grants: (parts) => new GrantsFleet(parts),
  sums: (parts) => new SumsFleet(parts),
};

/** Compares methods of enforcing a team's token limit over all instances. */
export function runTeamLimitsBench(): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  const rows = LIMIT_CASES.flatMap((load, index) =>
    SIZES.flatMap((instances) =>
      Object.entries(METHODS).map(([method, create]) => {
        const outcome = runLimitCase(load, instances, create);
        const { admitted, heaviest, ofBound, ofLimit, sentPerSecond } = outcome;
        const key = `case${index}_${instances}_${method}`;
        figures[`${key}_of_bound`] = ofBound;
        figures[`${key}_${load.isInside ? "admitted" : "of_limit"}`] =
          load.isInside ? admitted : ofLimit;
        return [
          load.name,
          String(instances),
          method,
          toCell(ofBound * 100),
          load.isInside ? toCell(admitted * 100) : "",
          toCell(ofLimit * 100),
          toCell(heaviest * 100),
          toCell(sentPerSecond, 1),
        ];
      })
    )
  );
  return Promise.resolve({
    head: [
      "CASE",
      "INSTANCES",
      "METHOD",
      "OF BOUND %",
      "ADMITTED %",
      "OF LIMIT %",
      "HEAVIEST TENTH %",
      "SENT /S",
    ],
    rows,
    figures,
    notes: [
      "of bound: weight of the heaviest window of 8 s; aim: never over 100",
      "admitted: calls within the limit; aim: 98 with steady demand, 95 where it walks from region to region",
      "of limit: weight admitted; aim: 90 for a team far over its limit",
      "heaviest tenth: share admitted of these calls minus that of all calls; aim: within 3",
      "sent: rows or messages of one instance per second",
    ],
  });
}
