import { err, ok, type Result } from "neverthrow";
import {
  type HttpRoute,
  mayServe,
  type RouteConfiguration,
} from "../http_routes/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import { type IdentifiedTeam, identifyTeam, toDigest } from "../teams/mod.ts";
import type { CallFacts } from "./call_header_codec.ts";
import type { CallOrigin } from "./opaque_call.ts";
import type { Refusal } from "./refusal.ts";

/** Team of a call, and what the call is allowed to do. */
export interface CallAccess {
  /**
   * Team and key of the caller; `undefined` if the route is public or the deployment does
   * not identify callers.
   */
  readonly caller: IdentifiedTeam | undefined;
  /** Regions that may serve the team's calls; `undefined` for all. */
  readonly homeRegions: readonly RegionId[] | undefined;
  /** Rank of the call as computed by {@linkcode computeRank}; 0 is the most urgent. */
  readonly rank: number;
  /** Whether the caller's key is removed before the call is sent on. */
  readonly withholdsKeys: boolean;
  /** Version of the configuration that decided this. */
  readonly configurationVersion: number;
}

/** Why a call is refused access. */
export interface AccessRefusal {
  readonly refusal: Refusal;
  /** Fields for the log line of the refusal. */
  readonly inputs: Readonly<Record<string, string>>;
}

/** Inputs of {@linkcode checkAccess}. */
export interface AccessParts {
  readonly origin: CallOrigin;
  readonly facts: Pick<CallFacts, "authorization">;
  /** Route of the call, or `undefined` if none matches. */
  readonly route: HttpRoute | undefined;
  readonly configuration: Pick<RouteConfiguration, "teams" | "version">;
}

/** Number of route priorities that are distinguished within one team priority. */
const ROUTE_PRIORITY_LEVELS = 10;

/**
 * Returns the rank of a call. The priority of the team comes first; the priority of the
 * route orders calls of teams with equal priority. If the route did not count, short calls
 * would no longer go before long ones as soon as teams have priorities.
 *
 * @param team Priority of the team; `undefined` if the priority of the route counts instead.
 * @param route Priority of the route.
 */
export function computeRank(team: number | undefined, route: number): number {
  return (team ?? route) +
    Math.min(route, ROUTE_PRIORITY_LEVELS - 1) / ROUTE_PRIORITY_LEVELS;
}

/**
 * Identifies the team of a call and decides whether the team may make it. Keys are checked
 * before routes, so that a caller without a valid key learns nothing about routes. Only
 * public routes require no key.
 *
 * A call that another instance forwards was admitted there. The newer configuration of the
 * two instances decides: an older one here must not refuse a key that was just added, and
 * a newer one here must not accept a key that was removed.
 *
 * @param parts The call and the configuration.
 * @returns The access of the call, or why it is refused. A call without a route is not refused here.
 */
export function checkAccess(
  { configuration, facts, origin, route }: AccessParts,
): Result<CallAccess, AccessRefusal> {
  const { teams, version } = configuration;
  const toAccess = (caller: IdentifiedTeam | undefined): CallAccess => ({
    caller,
    homeRegions: caller?.team.homeRegions,
    rank: computeRank(caller?.team.priority, route?.priority ?? 0),
    withholdsKeys: teams !== undefined,
    configurationVersion: version,
  });
  const isConfigurationOlder = origin.kind === "instance" &&
    origin.hop.configurationVersion > version;
  if (isConfigurationOlder) {
    const { caller } = origin.hop;
    const access = toAccess(caller);
    return ok({
      ...access,
      withholdsKeys: access.withholdsKeys || caller !== undefined,
    });
  }
  if (teams === undefined || route?.isPublic) return ok(toAccess(undefined));
  const identified = origin.kind === "caller"
    ? identifyTeam(teams, facts.authorization).mapErr(toUnauthenticated)
    : findForwardedTeam(origin.hop.caller, teams);
  return identified.andThen((caller) =>
    checkHomeRegions(toAccess(caller), route)
  );
}

/** Finds the team of a forwarded call in this configuration, by the hash of the caller's key. */
function findForwardedTeam(
  forwarded: IdentifiedTeam | undefined,
  teams: NonNullable<RouteConfiguration["teams"]>,
): Result<IdentifiedTeam, AccessRefusal> {
  const team = forwarded && teams.findByTokenHash(forwarded.tokenHash);
  if (forwarded !== undefined && team !== undefined) {
    return ok({ team, tokenHash: forwarded.tokenHash });
  }
  const digest = forwarded && toDigest(forwarded.tokenHash);
  return err(
    toUnauthenticated({ reason: forwarded ? "unknown-key" : "no-key", digest }),
  );
}

function checkHomeRegions(
  access: CallAccess,
  route: HttpRoute | undefined,
): Result<CallAccess, AccessRefusal> {
  const homeRegions = route?.homeRegions;
  const isServable = route === undefined || homeRegions === undefined ||
    homeRegions.some((region) => mayServe(access, region));
  if (isServable) return ok(access);
  return err({
    refusal: {
      reason: "residency",
      message: "No region may serve both this route and this team",
    },
    inputs: { team: access.caller?.team.id ?? "" },
  });
}

function toUnauthenticated(
  { digest, reason }: {
    readonly reason: string;
    readonly digest: string | undefined;
  },
): AccessRefusal {
  return {
    refusal: {
      reason: "unauthenticated",
      message: "No key of a team was given",
    },
    inputs: { cause: reason, ...(digest === undefined ? {} : { key: digest }) },
  };
}
