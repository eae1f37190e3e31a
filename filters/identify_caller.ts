import { timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { Team } from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import {
  computeTokenHash,
  identifyTeam,
  parseBearerToken,
  type UnknownCaller,
} from "../teams/mod.ts";
import type { Exchange, Filter } from "./exchange.ts";

/** Dependencies of the filters that identify callers and operators. */
export interface IdentifyParts {
  readonly configuration: ConfigurationState;
  /** Hash of the operators' token from the settings. */
  readonly operatorTokenHash: string;
}

/** Returns whether two hashes are equal; compares them in constant time. */
export function isSameHash(a: string, b: string): boolean {
  const left = Buffer.from(a, "utf8");
  const right = Buffer.from(b, "utf8");
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * Returns the filter that finds the team of a caller by its token.
 *
 * @param parts Configuration and the operators' token.
 */
export function createIdentifyCaller(parts: IdentifyParts): Filter {
  return async (exchange, next) => {
    const team = findTeam(parts.configuration, readAuthorization(exchange));
    if (team.isErr()) return err(team.error);
    exchange.team = team.value;
    return await next();
  };
}

/**
 * Returns the filter that lets only operators pass: callers with the operators'
 * token of the settings, which works before any team is configured, and teams with
 * the role `operator`.
 *
 * @param parts Configuration and the operators' token.
 */
export function createIdentifyOperator(parts: IdentifyParts): Filter {
  return async (exchange, next) => {
    const values = readAuthorization(exchange);
    const token = parseBearerToken(values[0] ?? "");
    const isOperator = token !== undefined &&
      isSameHash(computeTokenHash(token), parts.operatorTokenHash);
    if (isOperator) return await next();
    const team = findTeam(parts.configuration, values);
    if (team.isErr()) return err(team.error);
    if (team.value.spec.role !== "operator") {
      return err(
        createFailure("FORBIDDEN", `Team ${team.value.id} is not an operator`),
      );
    }
    exchange.team = team.value;
    return await next();
  };
}

function readAuthorization(exchange: Exchange): readonly string[] {
  const value = exchange.request.headers["authorization"];
  return value === undefined ? [] : [value];
}

function findTeam(
  { view }: ConfigurationState,
  values: readonly string[],
): Result<Team, Failure> {
  return identifyTeam(view.callers, values).mapErr(({ reason }) =>
    createFailure("UNAUTHENTICATED", toMessage(reason))
  ).andThen(({ team }) => ok(view.teams.get(team.id)!));
}

function toMessage(reason: UnknownCaller["reason"]): string {
  switch (reason) {
    case "no-key":
    case "several-keys":
      return "Cannot identify the sender: no bearer token";
    case "unknown-key":
      return "Cannot identify the sender: unknown token";
  }
}
