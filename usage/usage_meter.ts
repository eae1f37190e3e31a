import type { TeamId } from "../ids/mod.ts";

/** Cumulative counters of one team. */
export interface UsageCounters {
  readonly requests: number;
  readonly tokens: number;
}

/** Cumulative counters by team. */
export type UsageTotals = Readonly<Record<string, UsageCounters>>;

/** Counts what each team has used at this instance since the instance started. */
export class UsageMeter {
  readonly #totals = new Map<TeamId, { requests: number; tokens: number }>();

  /** Adds one request of a team and the request's tokens. */
  record(team: TeamId, tokens: number): void {
    const totals = this.#totals.get(team);
    if (totals === undefined) this.#totals.set(team, { requests: 1, tokens });
    else {
      totals.requests++;
      totals.tokens += tokens;
    }
  }

  /** Returns a copy of all counters. */
  readTotals(): UsageTotals {
    return Object.fromEntries(
      [...this.#totals].map(([team, totals]) => [team, { ...totals }]),
    );
  }
}

/** Returns the sum of two sets of counters. */
export function addTotals(a: UsageTotals, b: UsageTotals): UsageTotals {
  return combineTotals(a, b, 1);
}

/** Returns the first set of counters minus the second. */
export function subtractTotals(a: UsageTotals, b: UsageTotals): UsageTotals {
  return combineTotals(a, b, -1);
}

function combineTotals(
  a: UsageTotals,
  b: UsageTotals,
  sign: 1 | -1,
): UsageTotals {
  const teams = [...new Set([...Object.keys(a), ...Object.keys(b)])];
  return Object.fromEntries(teams.map((team) => [team, {
    requests: (a[team]?.requests ?? 0) + sign * (b[team]?.requests ?? 0),
    tokens: (a[team]?.tokens ?? 0) + sign * (b[team]?.tokens ?? 0),
  }]));
}
