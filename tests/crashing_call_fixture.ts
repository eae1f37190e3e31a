import assert from "node:assert/strict";
import { afterEach } from "node:test";
import {
  type FakeDaemon,
  FakeFleet,
  hashToken,
  NEW_ENGINE,
} from "../standin/mod.ts";

const TOKEN = "token";
const REGIONS = ["r1", "r2", "r3"];
export const CRASHING_BODY = {
  model: "m",
  prompt: "bad",
  max_tokens: 4,
  ends_server: true,
};
/** Time after which all daemons must quarantine the call, as users measure it, in milliseconds. */
export const QUARANTINED_AFTER_MS = 5_000;
export const ALLOWED_SENDS = 3;

const FLEETS: FakeFleet[] = [];
afterEach(() => FLEETS.splice(0).forEach((fleet) => fleet.stop()));

export async function startFleet(): Promise<FakeFleet> {
  const fleet = new FakeFleet({ regions: REGIONS });
  FLEETS.push(fleet);
  await fleet.clock.advance(3_000);
  const engines = REGIONS.flatMap((region, at) =>
    [1, 2].map((number) => {
      const url = `http://127.0.0.1:${10_000 + at * 10 + number}`;
      fleet.backend.addEngine(url, region, NEW_ENGINE);
      const spec = {
        service: "chat",
        region,
        failureDomain: "fd",
        url,
        slots: 16,
      };
      return { kind: "engine", name: `${region}-e${number}`, spec };
    })
  );
  await fleet.apply([
    { kind: "model", name: "m", spec: {} },
    { kind: "service", name: "chat", spec: { model: "m" } },
    ...engines,
    {
      kind: "team",
      name: "t",
      spec: { tokenHashes: [hashToken(TOKEN)], requestsPerSecond: 10_000 },
    },
  ]);
  return fleet;
}

/** Calls a daemon and returns the result code; 0 if the call was answered. */
export async function callDaemon(
  fleet: FakeFleet,
  daemon: FakeDaemon,
  body: object,
  durationMs = 2_500,
): Promise<number> {
  const pending = fleet.call(daemon, {
    token: TOKEN,
    path: "messages" in body ? "/v1/chat/completions" : "/v1/completions",
    headers: { "x-deadline-ms": "2000" },
    body,
  });
  await fleet.clock.advance(durationMs);
  const reply = await pending;
  return Number(reply.headers["x-result-code"] ?? "0");
}

export function listCrashingRuns({ backend }: FakeFleet): readonly number[] {
  return [...backend.engines.values()].flatMap(({ runs }) => runs)
    .filter(({ body }) => body.includes("ends_server"))
    .map(({ atMs }) => atMs).sort((a, b) => a - b);
}

/** A message that crashes engines, among others that sound calls share. */
export const BAD_MESSAGE = { role: "user", content: "bad" };
const FIRST_MESSAGE = { role: "system", content: "first" };

function createBadBody(nth: number, messages: readonly object[]): object {
  const own = { role: "user", content: `${nth}` };
  return {
    model: "m",
    messages: [FIRST_MESSAGE, ...messages, own],
    max_tokens: 4,
    ends_server: true,
  };
}

function createSoundBody(nth: number): object {
  const own = { role: "user", content: `sound ${nth}` };
  return { model: "m", messages: [FIRST_MESSAGE, own], max_tokens: 4 };
}

/**
 * Sends sound calls and crashing ones to all daemons in turn for five minutes, and asserts that
 * both rules of the users hold.
 *
 * @param toMessages Returns the messages between the first and the last one of the nth crashing call.
 * @param report Called with the figures.
 */
export async function assertBothRulesHold(
  toMessages: (nth: number) => readonly object[],
  report: (figures: string) => void,
): Promise<void> {
  const fleet = await startFleet();
  const pickDaemon = (nth: number) =>
    fleet.daemons[nth % fleet.daemons.length]!;
  const codes: number[] = [];
  for (let round = 0; round < 60; round++) {
    codes.push(
      await callDaemon(fleet, pickDaemon(round), createSoundBody(round)),
    );
    await callDaemon(
      fleet,
      pickDaemon(round + 2),
      createBadBody(round, toMessages(round)),
    );
  }
  const runs = listCrashingRuns(fleet);
  const late = runs.filter((atMs) =>
    atMs > (runs[4] ?? Infinity) + QUARANTINED_AFTER_MS
  );
  const lastCodes = codes.slice(-20);
  const served = lastCodes.filter((code) => code === 0);
  report(
    `${runs.length} runs, ${late.length} late, ${served.length} of ${lastCodes.length} served`,
  );
  assert.ok(runs.length >= 3);
  assert.ok(
    late.length <= ALLOWED_SENDS,
    `${late.length} of ${runs.length}`,
  );
  assert.ok(
    served.length >= lastCodes.length / 2,
    `${served.length} of ${lastCodes.length}`,
  );
}
