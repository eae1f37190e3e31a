import { createRandom } from "../clock/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import {
  groupBy,
  RolloutFleet,
  type RolloutFleetParts,
} from "./rollout_fleet_fixture.ts";
import type { Arrival, CallOutcome, ServerAction } from "./virtual_fleet.ts";

/** Duration of each order, in milliseconds. */
export const ORDER_MS = 12_000;
/** Time after the deadline of the order for which calls go on, in milliseconds. */
const AFTER_MS = 2_000;
const BURST_INTERVAL_MS = 20;

/** How a server answers when nothing is wrong with it; `slower` scales its times. */
export type Answer = (slower?: number) => ServerAction;

/** Changes how a server answers. */
export type Fault = (
  arrival: Arrival,
  answer: Answer,
  sinceOrderMs: number,
  random: () => number,
) => ServerAction;

/** One order, and what happens meanwhile. */
export interface RolloutDay {
  readonly instances: number;
  /** Servers of each version in each region. Default: 6. */
  readonly servers?: number;
  readonly callsPerSecond: number;
  /** Fault of the new version. Default: none. */
  readonly fault?: Fault;
  /** Fault of both versions. Default: none. */
  readonly faultOfBoth?: Fault;
  /** Called at intervals of 100 ms, with the time since the order in milliseconds. */
  readonly disturb?: (fleet: RolloutFleet, sinceOrderMs: number) => void;
  readonly fleet?: Partial<RolloutFleetParts>;
  readonly seed?: number;
}

/** What callers, servers and the store saw of an order. */
export interface RolloutResult {
  /** Final phase, and when it was recorded since the order, in milliseconds. */
  readonly phase: string | undefined;
  readonly endedMs: number | undefined;
  readonly reason: string | undefined;
  /** Arrivals of the service, and of them those at the new version, until the deadline. */
  readonly arrivals: number;
  readonly exposed: number;
  /** Time from the 50th bad response to the last arrival at the new version, in milliseconds. */
  readonly lateMs: number;
  readonly badResponses: number;
  /** When the last call arrived at the new version since the order, in milliseconds. */
  readonly lastExposedMs: number;
  /** Arrivals at the new version before the order. */
  readonly unordered: number;
  readonly outcomes: readonly {
    readonly route: string;
    readonly outcome: CallOutcome;
    readonly versions: readonly string[];
  }[];
}

const ROUTES = [
  { target: "/a/", share: 0.6 },
  { target: "/s/", share: 0.3 },
  { target: "/n/", share: 0.06 },
  { target: "/r/", share: 0.04 },
] as const;

/** Runs one order beside calls, and returns what was seen. */
export async function runRollout(day: RolloutDay): Promise<RolloutResult> {
  const next = createRandom(day.seed ?? 5);
  const random = () => next.nextFloat();
  const perRegion = day.instances / 3;
  const servers = day.servers ?? 6;
  const badMs: number[] = [];
  let orderedMs = Number.POSITIVE_INFINITY;
  const decide = (arrival: Arrival): ServerAction => {
    const answer: Answer = (slower = 1) => {
      const afterMs = slower * 40 * Math.exp(0.3 * (random() - 0.5));
      return arrival.target.startsWith("/s/")
        ? { kind: "stream", afterMs, gapMs: 15, events: 6 }
        : { kind: "answer", afterMs };
    };
    const sinceMs = arrival.atMs - orderedMs;
    const both = day.faultOfBoth?.(arrival, answer, sinceMs, random) ??
      answer();
    if (arrival.version === "v1" || day.fault === undefined) return both;
    const action = day.fault(arrival, answer, sinceMs, random);
    const isBad = action.kind === "lose" ||
      action.kind === "stream" &&
        (action.cutAfter !== undefined || action.gapMs > 30) ||
      action.kind === "answer" && action.status !== undefined ||
      "afterMs" in action && action.afterMs > 80;
    if (isBad && "afterMs" in action) badMs.push(arrival.atMs + action.afterMs);
    return action;
  };
  const rollout = new RolloutFleet({
    regions: Object.fromEntries(
      ["north", "south", "west"].map((region) => [
        region,
        { instances: perRegion, servers },
      ]),
    ),
    table: createRouteTable([
      createRoute("/a/"),
      createRoute("/r/"),
      createRoute("/n/", undefined, { routeClass: "non-idempotent" }),
      createRoute("/s/", undefined, {
        routeClass: "stream",
        isResumable: true,
      }),
    ]),
    slots: 16,
    ...day.fleet,
    decide,
  });
  const fleet = await rollout.start();
  const { clock } = fleet;
  ["north", "south", "west"].forEach((region) =>
    fleet.startServers(region, servers, "v2")
  );
  const pending: Promise<RolloutResult["outcomes"][number]>[] = [];
  let sent = 0;
  const callFor = async (durationMs: number, step?: () => void) => {
    for (let atMs = 0; atMs < durationMs; atMs += BURST_INTERVAL_MS) {
      const due = Math.round(
        day.callsPerSecond * BURST_INTERVAL_MS / 1_000 + random() - 0.5,
      );
      for (let count = 0; count < due; count++) {
        let at = random();
        const { target } = ROUTES.find(({ share }) => (at -= share) < 0) ??
          ROUTES[0];
        const body = `call ${sent++}`;
        pending.push(
          fleet.send({ body, target: `${target}x`, awaitsEnd: true })
            .then((outcome) => ({ route: target, outcome, versions: [body] })),
        );
      }
      if (atMs % 100 === 0) step?.();
      await clock.advance(BURST_INTERVAL_MS);
    }
  };
  await callFor(1_000);
  const unordered = countNew(fleet.arrivals);
  const startMs = clock.nowMs();
  orderedMs = startMs;
  rollout.order(ORDER_MS);
  let isStopped = false;
  await callFor(ORDER_MS + AFTER_MS, () => {
    day.disturb?.(rollout, clock.nowMs() - startMs);
    if (rollout.phase !== "completed" || isStopped) return;
    isStopped = true;
    fleet.stopServers("v1");
  });
  await clock.advance(2_500);
  rollout.stop();
  const versionsOf = groupBy(fleet.arrivals, ({ body }) => body);
  const outcomes = (await Promise.all(pending)).map((each) => ({
    ...each,
    versions: (versionsOf.get(each.versions[0]!) ?? [])
      .map(({ version }) => version),
  }));
  const within = fleet.arrivals.filter(({ atMs }) =>
    atMs >= startMs && atMs < startMs + ORDER_MS
  );
  const lastMs = fleet.arrivals.findLast(({ version }) => version === "v2")
    ?.atMs ?? 0;
  const fiftiethMs = badMs.sort((a, b) => a - b)[49];
  const final = rollout.phases.at(-1);
  return {
    phase: final?.phase,
    endedMs: final && final.atMs - startMs,
    reason: final?.reason,
    arrivals: within.length,
    exposed: countNew(within),
    lateMs: fiftiethMs === undefined ? 0 : lastMs - fiftiethMs,
    badResponses: badMs.length,
    lastExposedMs: lastMs - startMs,
    unordered,
    outcomes,
  };
}

function countNew(arrivals: readonly Arrival[]): number {
  return arrivals.filter(({ version }) => version === "v2").length;
}
