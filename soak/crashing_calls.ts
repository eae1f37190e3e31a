import { type Clock, pickRandom, type Random, waitFor } from "../clock/mod.ts";
import { SoakCaller } from "./caller.ts";
import type { ObservedCall } from "./observation.ts";
import type { SoakFleet, SoakInstance } from "./soak_fleet.ts";

/** Pause between calls that crash servers, in milliseconds. */
const CALL_PAUSE_MS = 150;

/** Arguments of {@linkcode sendCrashingCalls}. */
export interface CrashingCallsParts {
  readonly fleet: SoakFleet;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether the calls are equal, or have only a part of their prompts in common. */
  readonly kind: "ending" | "ending-part";
  /** Returns the instances that have to keep all promises now. */
  readonly listUndisturbed: () => readonly SoakInstance[];
  /** Called with each completed call. */
  readonly record: (call: ObservedCall) => void;
}

/**
 * Repeatedly sends calls that crash the server that runs them. Each round sends one call to any
 * instance and one to an instance that was not disturbed lately, each on a new connection.
 *
 * @param parts Fleet, clock, source of random numbers and recorder of calls.
 * @param durationMs How long new calls are sent, in milliseconds.
 */
export async function sendCrashingCalls(
  parts: CrashingCallsParts,
  durationMs: number,
): Promise<void> {
  const { clock, fleet, listUndisturbed, random } = parts;
  const untilMs = clock.nowMs() + durationMs;
  const sent: Promise<void>[] = [];
  while (clock.nowMs() < untilMs) {
    [fleet.instances, listUndisturbed()].forEach((instances) => {
      const instance = pickRandom(instances, random);
      if (instance !== undefined) sent.push(sendCrashingCall(parts, instance));
    });
    await waitFor(clock, CALL_PAUSE_MS);
  }
  await Promise.all(sent);
}

async function sendCrashingCall(
  { clock, fleet, kind, random, record }: CrashingCallsParts,
  instance: SoakInstance,
): Promise<void> {
  const nowMs = () => clock.nowMs();
  const caller = new SoakCaller({ random, nowMs, record });
  await caller.call(fleet.toCalledInstance(instance), kind);
  caller.close();
}
