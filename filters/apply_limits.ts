import { err, type Result } from "neverthrow";
import type { TeamLimits } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { TeamId } from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import { type Filter, readTeam, type Reply } from "./exchange.ts";

/** What limits need. */
export interface LimitParts {
  readonly clock: Clock;
  readonly limits: TeamLimits;
  /** Borrows from other instances for a team; resolves when they have answered. */
  readonly borrow: (team: TeamId) => Promise<void>;
}

/** Returns the filter that keeps a team to its rate and to its streams at this instance. */
export function createApplyLimits(parts: LimitParts): Filter {
  const inFlight = new Map<string, number>();
  const change = (team: string, by: number) => {
    const count = (inFlight.get(team) ?? 0) + by;
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
    const over = await admitOrBorrow(parts, id, spec.requestsPerSecond);
    if (over !== undefined) {
      const message =
        `Team ${id} is over its ${spec.requestsPerSecond} requests per second`;
      return err(createFailure("TEAM_LIMIT", message, over));
    }
    change(id, 1);
    return await holdUntilEnd(await next(), () => change(id, -1));
  };
}

/** A team that is over its share here may have some left at other instances. */
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
 * Returns the reply, with a callback when it has been sent or given up.
 *
 * @param result What goes back.
 * @param onEnd Called once.
 */
export function holdUntilEnd(
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
