import { createHash, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { Team } from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { Exchange, Filter } from "./exchange.ts";

/** What identifying needs. */
export interface IdentifyParts {
  readonly configuration: ConfigurationState;
  /** Hash of the operators' token from the settings. */
  readonly operatorTokenHash: string;
}

/** Returns the SHA-256 of a token in hexadecimal digits. */
export function computeTokenHash(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

/** Whether two hashes are the same, in constant time. */
export function isSameHash(a: string, b: string): boolean {
  const left = Buffer.from(a, "utf8");
  const right = Buffer.from(b, "utf8");
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Returns the bearer token of a request. */
export function readToken(exchange: Exchange): string | undefined {
  const match = /^Bearer (\S{1,512})$/i.exec(
    exchange.request.headers["authorization"] ?? "",
  );
  return match?.[1];
}

/**
 * Returns the filter that finds the team of a caller by its token. Tokens are
 * looked up by their hash, so that the time taken tells nothing of a token.
 *
 * @param parts Configuration and the operators' token.
 */
export function createIdentifyCaller(parts: IdentifyParts): Filter {
  return async (exchange, next) => {
    const hash = readTokenHash(exchange);
    if (hash.isErr()) return err(hash.error);
    const team = findTeam(parts.configuration, hash.value);
    if (team.isErr()) return err(team.error);
    exchange.team = team.value;
    return await next();
  };
}

/**
 * Returns the filter that lets only operators through. The token of the
 * settings is there to start with; teams with the role `operator` follow.
 *
 * @param parts Configuration and the operators' token.
 */
export function createIdentifyOperator(parts: IdentifyParts): Filter {
  return async (exchange, next) => {
    const hash = readTokenHash(exchange);
    if (hash.isErr()) return err(hash.error);
    if (isSameHash(hash.value, parts.operatorTokenHash)) return await next();
    const team = findTeam(parts.configuration, hash.value);
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

function readTokenHash(exchange: Exchange): Result<string, Failure> {
  const token = readToken(exchange);
  if (token !== undefined) return ok(computeTokenHash(token));
  return err(
    createFailure(
      "UNAUTHENTICATED",
      "Cannot identify the sender: no bearer token",
    ),
  );
}

function findTeam(
  configuration: ConfigurationState,
  hash: string,
): Result<Team, Failure> {
  const team = configuration.view.teamsByTokenHash.get(hash);
  if (team !== undefined) return ok(team);
  return err(
    createFailure(
      "UNAUTHENTICATED",
      "Cannot identify the sender: unknown token",
    ),
  );
}
