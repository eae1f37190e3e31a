import { err, ok, type Result } from "neverthrow";
import type { FleetLimits } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { HttpRoute, RouteConfiguration } from "../http_routes/mod.ts";
import { LineRateLimiter, type Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { computeCallWeight, type Team } from "../teams/mod.ts";
import type { CallFacts } from "./call_header_codec.ts";
import { type CallAccess, checkAccess } from "./check_access.ts";
import type { CallHead } from "./opaque_call.ts";
import type { Refusal } from "./refusal.ts";

/** Maximum log lines per second about refused calls, enough to see who is refused and why. */
const MAX_LOG_LINES_PER_SECOND = 20;

/** Dependencies of a {@linkcode CallGate}. */
export interface CallGateParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly limits: FleetLimits;
}

/** A call for which admission is decided. */
export interface ArrivingCall {
  readonly call: CallHead;
  readonly facts: CallFacts;
  /** Route of the call, or `undefined` if none matches. */
  readonly route: HttpRoute | undefined;
  readonly configuration: RouteConfiguration;
}

/** A call that was admitted. */
export interface AdmittedCall {
  readonly access: CallAccess;
  /**
   * Ends the call, and returns its weight to the team's limit if the call has not run.
   *
   * @param mayHaveRun Whether a server may have run the call.
   */
  readonly settle: (mayHaveRun: boolean) => void;
}

/** Admits calls of known teams within the limits of these teams, and logs why others are refused. */
export class CallGate {
  readonly #parts: CallGateParts;
  readonly #logBudget = new LineRateLimiter(MAX_LOG_LINES_PER_SECOND);

  /** @param parts Clock, limits, logger and metrics. */
  constructor(parts: CallGateParts) {
    this.#parts = parts;
  }

  /** Returns why a call is refused regardless of its team's limit, or `undefined` if it is not. */
  findHeadRefusal(arriving: ArrivingCall): Refusal | undefined {
    const access = this.#checkAccess(arriving);
    return access.isErr() ? access.error : undefined;
  }

  /**
   * Decides whether a call is served, and counts an admitted call against its team's limit.
   *
   * @param arriving The call, and the configuration in force.
   * @returns The admitted call, or its refusal.
   */
  admit(arriving: ArrivingCall): Result<AdmittedCall, Refusal> {
    const { call: { origin }, route } = arriving;
    const access = this.#checkAccess(arriving);
    if (access.isErr()) return err(access.error);
    const team = access.value.caller?.team;
    // A call without a route does not run, and a forwarded call has been counted by the
    // instance that forwarded it.
    const isCounted = route !== undefined && origin.kind === "caller";
    if (team === undefined || !isCounted) {
      return ok({ access: access.value, settle: () => {} });
    }
    return this.#countAgainstLimit(arriving, access.value, team);
  }

  /** Identifies the team of a call, and logs the refusal of a call that has no access. */
  #checkAccess(arriving: ArrivingCall): Result<CallAccess, Refusal> {
    const { call: { origin }, configuration, facts, route } = arriving;
    return checkAccess({ origin, facts, route, configuration })
      .mapErr(({ inputs, refusal }) => {
        this.#logRefusal(arriving, refusal, inputs);
        return refusal;
      });
  }

  #countAgainstLimit(
    arriving: ArrivingCall,
    access: CallAccess,
    team: Team,
  ): Result<AdmittedCall, Refusal> {
    const { clock, limits, metrics } = this.#parts;
    const weight = team.limit === undefined
      ? 0
      : computeCallWeight(team.limit, arriving.facts.prompt);
    const admittedMs = clock.nowMs();
    const verdict = limits.admit(team, weight, admittedMs);
    const countResult = (result: string) => {
      metrics.count("team.calls", 1, { team: team.id, result });
      metrics.count("team.weight", weight, { team: team.id, result });
    };
    countResult(verdict.kind);
    switch (verdict.kind) {
      case "admitted":
        return ok({
          access,
          settle: (mayHaveRun) => {
            if (mayHaveRun) return;
            const at = { admittedMs, nowMs: clock.nowMs() };
            limits.refund(team.id, weight, at);
            countResult("given-back");
          },
        });
      case "refused": {
        const { inputs, retryAfterMs } = verdict;
        const refusal: Refusal = {
          reason: "over-limit",
          message: retryAfterMs === undefined
            ? `The limit of team "${team.id}" never carries this call`
            : `Team "${team.id}" is over its limit`,
          retryAfterMs,
        };
        this.#logRefusal(arriving, refusal, {
          team: team.id,
          ...roundValues(inputs),
        });
        return err(refusal);
      }
    }
  }

  /** Counts a refusal and logs it, within the limit on log lines. */
  #logRefusal(
    { call: { origin }, configuration, facts, route }: ArrivingCall,
    refusal: Refusal,
    inputs: Readonly<Record<string, string | number>>,
  ): void {
    const { clock, logger, metrics } = this.#parts;
    metrics.count("call.not_let_in", 1, { reason: refusal.reason });
    const suppressedLines = this.#logBudget.admitLine(clock.nowMs());
    if (suppressedLines === undefined) return;
    logger.info("refused", {
      call: facts.callId,
      reason: refusal.reason,
      detail: refusal.message,
      route: route?.name ?? "none",
      configuration: configuration.version,
      origin: origin.kind === "instance" ? origin.hop.from : "caller",
      ...inputs,
      ...(suppressedLines > 0 ? { suppressedLines } : {}),
    });
  }
}

function roundValues(
  inputs: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(inputs).map(([name, value]) => [
      name,
      Math.round(value * 1_000) / 1_000,
    ]),
  );
}
