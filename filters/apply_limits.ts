import { err, type Result } from "neverthrow";
import type { TeamLimits } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { TeamId } from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import { type Filter, readTeam, type Reply } from "./exchange.ts";

/** Dependencies of the filter that applies the limits of teams. */
export interface LimitParts {
  readonly clock: Clock;
  readonly limits: TeamLimits;
  /** Borrows rate from other instances for a team; resolves when they have answered. */
  readonly borrow: (team: TeamId) => Promise<void>;
}

/**
 * Returns the filter that limits a team's request rate, and its concurrent requests
 * at this instance.
 */
export function createApplyLimits(parts: LimitParts): Filter {
  const inFlight = new Map<string, number>();
  const addInFlight = (team: string, delta: number) => {
    const count = (inFlight.get(team) ?? 0) + delta;
    if (count <= 0) inFlight.delete(team);
    else inFlight.set(team, count);
  };
  return async (exchange, next) => {
    if (exchange.origin.kind === "peer") return await next();
    const { id, spec } = readTeam(exchange);
    if ((inFlight.get(id) ?? 0) >= spec.concurrentStreams) {
      const message =
        `Team ${id} has ${spec.concurrentStreams} requests in flight here`;
      return err(createFailure("TEAM_LIMIT", message, { retryAfterMs: 500 }));
    }
    const retryHint = await admitOrBorrow(parts, id, spec.requestsPerSecond);
    if (retryHint !== undefined) {
      const message =
        `Team ${id} is over its ${spec.requestsPerSecond} requests per second`;
      return err(createFailure("TEAM_LIMIT", message, retryHint));
    }
    addInFlight(id, 1);
    return await runAtReplyEnd(await next(), () => addInFlight(id, -1));
  };
}

/**
 * Admits a request of a team. If the team's share of the rate at this instance is
 * used up, borrows from other instances, which may have some left, and tries again.
 */
async function admitOrBorrow(
  { borrow, clock, limits }: LimitParts,
  team: TeamId,
  limit: number,
): Promise<{ readonly retryAfterMs: number } | undefined> {
  const first = limits.admit(team, limit, clock.nowMs());
  if (first === undefined) return undefined;
  await borrow(team);
  return limits.admitAgain(team, limit, clock.nowMs());
}

/**
 * Returns the result and runs a callback at its end: at once for a failure or a
 * whole reply; for a stream, when it has been sent or given up.
 *
 * @param result What is sent back.
 * @param onEnd Called once.
 */
export function runAtReplyEnd(
  result: Result<Reply, Failure>,
  onEnd: () => void,
): Result<Reply, Failure> {
  if (result.isErr() || result.value.kind === "whole") {
    onEnd();
    return result;
  }
  const { events, ...rest } = result.value;
  return result.map(() => ({ ...rest, events: followEvents(events, onEnd) }));
}

async function* followEvents<T>(
  events: AsyncIterable<T>,
  onEnd: () => void,
): AsyncGenerator<T> {
  try {
    yield* events;
  } finally {
    onEnd();
  }
}
