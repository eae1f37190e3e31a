import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { systemClock } from "../adapters/system_clock.ts";
import { createRandom, type Random, waitFor } from "../clock/mod.ts";
import {
  type Arrival,
  type BrokenPromise,
  checkArrivals,
  type SentCall,
} from "./arrival.ts";
import type { AnswerFault } from "./arrival_server.ts";
import { type Disturbance, disturbFleet } from "./disturb.ts";
import { RepeatCaller } from "./repeat_caller.ts";
import { RepeatFleet } from "./repeat_fleet.ts";

/** Arguments of {@linkcode playRepeats}. */
export interface RepeatsParts {
  /** Path of the built program of the instances. */
  readonly program: string;
  readonly seed: number;
  /** Length of the traffic, in seconds. */
  readonly seconds: number;
  readonly instancesPerRegion: number;
  readonly serversPerRegion: number;
  readonly faults: readonly AnswerFault[];
  readonly disturbances: readonly Disturbance[];
  /** Folder that exists, for the logs of the instances. */
  readonly logFolder: string;
}

/** What a play showed. */
export interface RepeatsReport {
  readonly calls: number;
  readonly served: number;
  readonly arrivals: number;
  /** Arrivals of calls that did not run, as they were meant for another server. */
  readonly misdirected: number;
  readonly broken: readonly BrokenPromise[];
  /** How often each message stands in the logs. */
  readonly messages: ReadonlyMap<string, number>;
}

const REGIONS = ["north", "south"];
const CALLERS_PER_INSTANCE = 3;
/** Mean pause of a caller between two calls, in milliseconds. */
const CALL_PAUSE_MS = 150;
/** Time for calls of the last seconds to run after all, in milliseconds. */
const SETTLE_MS = 1_000;

/** Plays calls that may run once on real processes, and checks that none ran twice. */
export async function playRepeats(
  { disturbances, faults, seconds, seed, ...parts }: RepeatsParts,
): Promise<RepeatsReport> {
  const calls: SentCall[] = [];
  const arrivals: Arrival[] = [];
  const random = createRandom(seed);
  const fleet = new RepeatFleet({
    ...parts,
    regions: REGIONS,
    faults: new Set(faults),
    random: createRandom(seed + 1),
    record: (arrival) => arrivals.push(arrival),
  });
  try {
    await fleet.start();
    const ended = new AbortController();
    const playing = [
      ...startCallers(fleet, calls, random, ended.signal),
      ...disturbances.map((kind, at) =>
        disturbFleet(fleet, kind, {
          random: createRandom(seed + 2 + at),
          signal: ended.signal,
        })
      ),
    ];
    await waitFor(systemClock, 1_000 * seconds);
    ended.abort("over");
    await Promise.all(playing);
    await waitFor(systemClock, SETTLE_MS);
  } finally {
    await fleet.close();
  }
  return {
    calls: calls.length,
    served: calls.filter(({ status }) => status === 200).length,
    arrivals: arrivals.length,
    misdirected: arrivals.filter(({ kind }) => kind === "misdirected").length,
    broken: checkArrivals(calls, arrivals),
    messages: countMessages(parts.logFolder),
  };
}

/** Returns the lines in the logs of a play that name a call. */
export function findLines(logFolder: string, callId: string): string[] {
  return readLines(logFolder).filter((line) => line.includes(callId));
}

function startCallers(
  fleet: RepeatFleet,
  calls: SentCall[],
  random: Random,
  signal: AbortSignal,
): readonly Promise<void>[] {
  return fleet.instances.flatMap((instance) =>
    Array.from({ length: CALLERS_PER_INSTANCE }, async () => {
      const caller = new RepeatCaller(random);
      while (!signal.aborted) {
        calls.push(await caller.call(fleet.toCalled(instance)));
        const pauseMs = 2 * CALL_PAUSE_MS * random.nextFloat();
        await waitFor(systemClock, pauseMs);
      }
      caller.close();
    })
  );
}

function countMessages(logFolder: string): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  readLines(logFolder).forEach((line) => {
    const message = /"message":"([^"]*)"/.exec(line)?.[1] ?? "";
    counts.set(message, (counts.get(message) ?? 0) + 1);
  });
  return counts;
}

function readLines(logFolder: string): string[] {
  return readdirSync(logFolder).flatMap((name) =>
    readFileSync(join(logFolder, name), "utf8").split("\n")
  );
}
