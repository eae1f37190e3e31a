import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Team } from "./team.ts";
import type { TeamTable } from "./team_table.ts";

/** Scheme, spaces and a key without spaces (RFC 6750). No issued key is longer. */
const BEARER = /^Bearer +(\S{1,512})$/i;
/** Digits of a key's hash that logs may show: they distinguish keys without revealing them. */
const DIGEST_DIGITS = 8;

/** The team of a caller, and the key that identifies it. */
export interface IdentifiedTeam {
  readonly team: Team;
  /** SHA-256 of the key, in hexadecimal digits. */
  readonly tokenHash: string;
}

/** Reason why a caller could not be identified. */
export interface UnknownCaller {
  readonly reason: "no-key" | "several-keys" | "unknown-key";
  /** Digits of the key's hash that logs may show; `undefined`: there is no single key. */
  readonly digest: string | undefined;
}

/** Returns the SHA-256 of a key in hexadecimal digits. */
export function computeTokenHash(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

/** Returns the digits of a key's hash that logs may show. */
export function toDigest(tokenHash: string): string {
  return tokenHash.slice(0, DIGEST_DIGITS);
}

/** Returns the key in the value of an `Authorization` header, or `undefined`. */
export function parseBearerToken(value: string): string | undefined {
  return BEARER.exec(value)?.[1];
}

/**
 * Finds the team of a caller. Several headers identify no team, since which of them counts
 * would depend on the program that reads them.
 *
 * @param teams Teams in the configuration in force.
 * @param values All values of the `Authorization` header, as received.
 */
export function identifyTeam(
  teams: TeamTable,
  values: readonly string[],
): Result<IdentifiedTeam, UnknownCaller> {
  if (values.length > 1) {
    return err({ reason: "several-keys", digest: undefined });
  }
  const token = parseBearerToken(values[0] ?? "");
  if (token === undefined) return err({ reason: "no-key", digest: undefined });
  const tokenHash = computeTokenHash(token);
  const team = teams.findByTokenHash(tokenHash);
  if (team !== undefined) return ok({ team, tokenHash });
  return err({ reason: "unknown-key", digest: toDigest(tokenHash) });
}
