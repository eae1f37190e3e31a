/**
 * Teams of callers: the keys that identify them, the regions that may serve their
 * calls, and the priority and usage limit of those calls.
 *
 * @example
 * ```ts
 * import { computeTokenHash, identifyTeam, TeamTable } from "./teams/mod.ts";
 * const teams = new TeamTable([{ team, tokenHashes: [computeTokenHash("secret")] }]);
 * identifyTeam(teams, ["Bearer secret"]).isOk(); // true
 * ```
 * @module
 */
export * from "./describe_team_changes.ts";
export * from "./identify_team.ts";
export * from "./team.ts";
export * from "./team_table.ts";
