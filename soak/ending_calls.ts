import { type Clock, pickRandom, type Random, waitFor } from "../clock/mod.ts";
import { SoakCaller } from "./caller.ts";
import type { SeenCall } from "./observation.ts";
import type { SoakFleet, SoakInstance } from "./soak_fleet.ts";

/** Pause between calls under which servers end, in milliseconds. */
const CALL_PAUSE_MS = 150;

/** What calls under which servers end are sent with. */
export interface EndingCallsParts {
  readonly fleet: SoakFleet;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the instances that are held to all promises now. */
  readonly listSteady: () => readonly SoakInstance[];
  readonly record: (call: SeenCall) => void;
}

/**
 * Sends a call under which servers end again and again, each time on a new connection:
 * to any instance, and to one that was not disturbed lately.
 *
 * @param parts Fleet, and who hears of each call.
 * @param forMs For how long, in milliseconds.
 */
export async function sendEndingCalls(
  parts: EndingCallsParts,
  forMs: number,
): Promise<void> {
  const { clock, fleet, listSteady, random } = parts;
  const untilMs = clock.nowMs() + forMs;
  const sent: Promise<void>[] = [];
  while (clock.nowMs() < untilMs) {
    [fleet.instances, listSteady()].forEach((instances) => {
      const instance = pickRandom(instances, random);
      if (instance !== undefined) sent.push(sendOne(parts, instance));
    });
    await waitFor(clock, CALL_PAUSE_MS);
  }
  await Promise.all(sent);
}

async function sendOne(
  { clock, fleet, random, record }: EndingCallsParts,
  instance: SoakInstance,
): Promise<void> {
  const nowMs = () => clock.nowMs();
  const caller = new SoakCaller({ random, nowMs, record });
  await caller.call(fleet.toCalled(instance), "ending");
  caller.close();
}
