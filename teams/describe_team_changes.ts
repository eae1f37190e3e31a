import { toDigest } from "./identify_team.ts";
import type { TeamTable } from "./team_table.ts";

/** Maximum number of names in one field of the log line. */
const MAX_NAMES = 20;

/** Differences of the teams of two configurations, for a log line. */
export interface TeamChanges {
  /** Number of teams after the change. */
  readonly teams: number;
  /** Shortened hashes of keys that were added. */
  readonly keysAdded: string;
  /** Shortened hashes of keys that were removed. */
  readonly keysRemoved: string;
  /** Teams whose limit, homes or priority changed. */
  readonly changed: string;
}

/**
 * Returns the differences of the teams of two configurations, or `undefined` if there are none.
 *
 * @param before Teams of the configuration before; `undefined`: none.
 * @param after Teams of the configuration that replaces it; `undefined`: none.
 */
export function describeTeamChanges(
  before: TeamTable | undefined,
  after: TeamTable | undefined,
): TeamChanges | undefined {
  const hashesBefore = new Set(before?.tokenHashes);
  const hashesAfter = new Set(after?.tokenHashes);
  const added = [...hashesAfter].filter((hash) => !hashesBefore.has(hash));
  const removed = [...hashesBefore].filter((hash) => !hashesAfter.has(hash));
  const changed = (after?.teams ?? []).filter((team) =>
    JSON.stringify(before?.find(team.id)) !== JSON.stringify(team)
  );
  if (added.length + removed.length + changed.length === 0) return undefined;
  return {
    teams: after?.teams.length ?? 0,
    keysAdded: formatNames(added.map(toDigest)),
    keysRemoved: formatNames(removed.map(toDigest)),
    changed: formatNames(changed.map(({ id }) => id)),
  };
}

function formatNames(names: readonly string[]): string {
  const more = names.length - MAX_NAMES;
  const shown = names.slice(0, MAX_NAMES).join(" ");
  return more > 0 ? `${shown} and ${more} more` : shown;
}
