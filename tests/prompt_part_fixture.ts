import assert from "node:assert/strict";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import type {
  Arrival,
  VirtualFleet,
  VirtualFleetParts,
} from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

/** Prompt part under which servers crash, unless a scenario names others. */
export const BAD_PART = "bad";
/** First prompt part of all calls. */
export const FIRST_PART = "first";
/** Time after the fifth crash from which the users count sends of the part, in milliseconds. */
const KNOWN_AFTER_MS = 5_000;
/** Sends that are allowed after that time. */
const ALLOWED_SENDS = 3;
/** Time after the fifth crash from which the users compare the service of sound calls, in milliseconds. */
const SERVED_AFTER_MS = 10_000;
/** Share of the sound calls that has to be served then, of the share that was served before. */
const MIN_SERVED_SHARE = 0.5;
/** Interval between sound calls, in milliseconds. */
const SOUND_INTERVAL_MS = 40;

/** How calls with the bad part come, and what they do to servers. */
export interface Scenario {
  /** Shared parts of the nth call with the bad part. Default: the bad one is the second of three. */
  readonly toParts?: (nth: number) => readonly string[];
  /** Parts under which servers crash. Default: one. */
  readonly badParts?: readonly string[];
  readonly intervalMs?: number;
  readonly durationMs?: number;
  readonly crashAfterMs?: number;
  /** Shared parts of a sound call. Default: the same first part, and one of 37 subjects. */
  readonly toSoundParts?: (
    atMs: number,
    isBefore: boolean,
  ) => readonly string[];
  readonly fleet?: Partial<VirtualFleetParts>;
}

/** A sound call, and how it ended. */
interface SoundCall {
  readonly atMs: number;
  readonly parts: readonly string[];
  status?: number;
}

/** Nine instances and six servers in three regions. */
export const REGIONS = {
  north: { instances: 3, servers: 3 },
  south: { instances: 3, servers: 2 },
  west: { instances: 3, servers: 1 },
};

/** Returns whether a call contains a part under which servers crash. */
export function isBad(
  { parts }: Arrival,
  badParts: readonly string[] = [BAD_PART],
): boolean {
  return badParts.some((part) => parts.includes(part));
}

/** Starts the fleet of a scenario. */
export async function startScenarioFleet(
  { badParts, crashAfterMs = 70, fleet = {} }: Scenario,
): Promise<VirtualFleet> {
  return await startVirtualFleet({
    regions: REGIONS,
    table: createRouteTable([createRoute("/a/")]),
    decide: (arrival) =>
      isBad(arrival, badParts)
        ? { kind: "end", afterMs: crashAfterMs }
        : { kind: "answer", afterMs: 120 },
    replacedAfterMs: 6_000,
    ...fleet,
  });
}

/** Sends sound calls that share their first part, for a while, and returns them. */
export async function sendSoundCalls(
  fleet: VirtualFleet,
  durationMs: number,
  onRound: (atMs: number) => void = () => {},
  toParts = (atMs: number): readonly string[] => [
    FIRST_PART,
    `subject ${atMs % 37}`,
  ],
): Promise<readonly SoundCall[]> {
  const calls: SoundCall[] = [];
  const startMs = fleet.clock.nowMs();
  for (let atMs = 0; atMs < durationMs; atMs += SOUND_INTERVAL_MS) {
    const parts = toParts(atMs);
    const sent: SoundCall = { atMs: startMs + atMs, parts };
    calls.push(sent);
    void fleet.send({
      body: `sound ${startMs + atMs}`,
      parts: [...parts, `${atMs}`],
    })
      .then(({ status }) => sent.status = status);
    onRound(atMs);
    await fleet.clock.advance(SOUND_INTERVAL_MS);
  }
  return calls;
}

function computeServedShare(calls: readonly SoundCall[]): number {
  return calls.filter(({ status }) => status === 200).length / calls.length;
}

/** Plays a scenario, and returns what the users count. */
export async function playScenario(scenario: Scenario) {
  const {
    durationMs = 40_000,
    intervalMs = 400,
    toParts = (nth) => [FIRST_PART, BAD_PART, `third ${nth % 5}`],
    toSoundParts = (atMs) => [FIRST_PART, `subject ${atMs % 37}`],
  } = scenario;
  const fleet = await startScenarioFleet(scenario);
  const before = await sendSoundCalls(
    fleet,
    10_000,
    () => {},
    (atMs) => toSoundParts(atMs, true),
  );
  const startMs = fleet.clock.nowMs();
  let sentCount = 0;
  const calls = await sendSoundCalls(fleet, durationMs, (atMs) => {
    while (sentCount * intervalMs <= atMs) {
      const nth = sentCount++;
      void fleet.send({
        body: `bad ${nth}`,
        parts: [...toParts(nth), `${nth}`],
      });
    }
  }, (atMs) => toSoundParts(atMs, false));
  await fleet.clock.advance(3_000);
  const sends = fleet.arrivals.filter((arrival) =>
    isBad(arrival, scenario.badParts)
  );
  const crashed = [...new Map(sends.map((each) => [each.server, each])).keys()];
  const crashesMs = crashed.map((server) =>
    sends.find((send) => send.server === server)!.atMs
  );
  const fifthMs = crashesMs[4] ?? crashesMs.at(-1) ?? startMs;
  const isCounted = crashesMs.length >= 5;
  const late = isCounted
    ? sends.filter(({ atMs }) => atMs > fifthMs + KNOWN_AFTER_MS)
    : [];
  const servedFromMs = fifthMs + SERVED_AFTER_MS;
  return {
    fleet,
    calls,
    crashCount: crashed.length,
    lateCount: late.length,
    servedBefore: computeServedShare(before),
    servedUntil: computeServedShare(
      calls.filter(({ atMs }) => atMs <= servedFromMs),
    ),
    servedAfter: computeServedShare(
      calls.filter(({ atMs }) => atMs > servedFromMs),
    ),
  };
}

/** Figures of a scenario that was played. */
export type PlayedScenario = Awaited<ReturnType<typeof playScenario>>;

/** Returns the figures by which the users judge a scenario. */
export function formatFigures(played: PlayedScenario): string {
  const { crashCount, lateCount, servedAfter, servedBefore, servedUntil } =
    played;
  return JSON.stringify({
    crashCount,
    lateCount,
    servedBefore,
    servedUntil,
    servedAfter,
  }, (_, value) => typeof value === "number" ? +value.toFixed(3) : value);
}

/** Asserts that the part is soon sent no more, and that sound calls are served. */
export function assertBothRules(played: PlayedScenario): void {
  const { lateCount, servedAfter, servedBefore } = played;
  const figures = formatFigures(played);
  assert.ok(lateCount <= ALLOWED_SENDS, figures);
  assert.ok(servedAfter >= MIN_SERVED_SHARE * servedBefore, figures);
}
