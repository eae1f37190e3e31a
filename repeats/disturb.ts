import { systemClock } from "../adapters/system_clock.ts";
import { type Random, waitFor } from "../clock/mod.ts";
import type { PlatformProcess } from "../standin/platform_process.ts";
import type { RepeatFleet } from "./repeat_fleet.ts";

/** What happens to servers and instances, one at a time, again and again. */
export const DISTURBANCES = [
  /** A server is started anew at its address, with another id. */
  "restarted-servers",
  /** The address of a server is given to a server of another service. */
  "moved-servers",
  /** A server stands still for a moment. */
  "still-servers",
  /** An instance is killed and started again. */
  "kills",
  /** An instance stands still for a moment. */
  "stops",
  /** An instance is told to end, and started again. */
  "terminations",
  /** An instance reads its settings again. */
  "reloads",
  /** A configuration is written. */
  "configurations",
  /** Open connections of an instance to servers fail, as the host can't be reached. */
  "unreachable-hosts",
] as const;

/** One of {@linkcode DISTURBANCES}. */
export type Disturbance = typeof DISTURBANCES[number];

/** Range of the pause between two disturbances of a kind, in milliseconds. */
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 1_500;
/** Range of the time for which something stands still, in milliseconds. */
const MIN_STILL_MS = 200;
const MAX_STILL_MS = 1_500;

/** Disturbs a fleet in one way until the signal is aborted. */
export async function disturbFleet(
  fleet: RepeatFleet,
  kind: Disturbance,
  { random, signal }: {
    readonly random: Random;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const wait = (minMs: number, maxMs: number) =>
    waitFor(systemClock, minMs + (maxMs - minMs) * random.nextFloat());
  while (!signal.aborted) {
    await wait(MIN_PAUSE_MS, MAX_PAUSE_MS);
    if (signal.aborted) return;
    const place = pick(fleet.places, random);
    const instance = pick(fleet.instances, random);
    switch (kind) {
      case "restarted-servers":
        await fleet.restartServer(place);
        break;
      case "moved-servers":
        await fleet.moveServer(place);
        break;
      case "still-servers": {
        const { server } = place;
        server.isStill = true;
        await wait(MIN_STILL_MS, MAX_STILL_MS);
        server.isStill = false;
        break;
      }
      case "kills":
        await restartInstance(instance, "SIGKILL");
        break;
      case "stops":
        instance.signal("SIGSTOP");
        await wait(MIN_STILL_MS, MAX_STILL_MS);
        instance.signal("SIGCONT");
        break;
      case "terminations":
        await restartInstance(instance, "SIGTERM");
        break;
      case "reloads":
        await instance.reload();
        break;
      case "configurations":
        await fleet.configure();
        break;
      case "unreachable-hosts":
        await instance.setServerLinks("unreachable");
        break;
    }
  }
}

/** Ends an instance by a signal, and starts it again unless another disturbance has. */
async function restartInstance(
  instance: PlatformProcess,
  signal: NodeJS.Signals,
): Promise<void> {
  instance.signal(signal);
  await instance.awaitExit();
  if (instance.pid === undefined) instance.start();
}

function pick<T>(values: readonly T[], random: Random): T {
  return values[Math.floor(random.nextFloat() * values.length)]!;
}
