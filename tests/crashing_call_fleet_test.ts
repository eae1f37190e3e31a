// Guards against a call that crashes engine after engine of `havenspurd`: its crashes were known to one call at one daemon.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
  type FakeDaemon,
  FakeFleet,
  hashToken,
  NEW_ENGINE,
} from "../standin/mod.ts";

const TOKEN = "token";
const REGIONS = ["r1", "r2", "r3"];
const CRASHING_BODY = {
  model: "m",
  prompt: "bad",
  max_tokens: 4,
  ends_server: true,
};
/** Time after which all daemons must quarantine the call, as users measure it, in milliseconds. */
const QUARANTINED_AFTER_MS = 5_000;
const ALLOWED_SENDS = 3;

const FLEETS: FakeFleet[] = [];
afterEach(() => FLEETS.splice(0).forEach((fleet) => fleet.stop()));

async function startFleet(): Promise<FakeFleet> {
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
async function callDaemon(
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

function listCrashingRuns({ backend }: FakeFleet): readonly number[] {
  return [...backend.engines.values()].flatMap(({ runs }) => runs)
    .filter(({ body }) => body.includes("ends_server"))
    .map(({ atMs }) => atMs).sort((a, b) => a - b);
}

describe("a call that crashes engines", () => {
  it("is no longer sent to engines by any daemon once it has crashed three", async () => {
    const fleet = await startFleet();
    for (let round = 0; round < 36; round++) {
      await callDaemon(
        fleet,
        fleet.daemons[round % fleet.daemons.length]!,
        CRASHING_BODY,
        800,
      );
    }
    const runs = listCrashingRuns(fleet);
    const late = runs.filter((atMs) => atMs > runs[2]! + QUARANTINED_AFTER_MS);
    assert.ok(runs.length >= 3);
    assert.ok(late.length <= ALLOWED_SENDS, `${late.length} of ${runs.length}`);
  });

  it("is tried at no further engine once its own attempts have crashed three", async () => {
    const fleet = await startFleet();
    const [daemon] = fleet.daemons;
    // Both engines of the region crash; the one that is replaced first crashes a second time.
    await callDaemon(fleet, daemon!, CRASHING_BODY, 800);
    await fleet.clock.advance(12_000);
    const code = await callDaemon(fleet, daemon!, CRASHING_BODY, 2_500);
    assert.equal(code, 1401);
    assert.equal(listCrashingRuns(fleet).length, 3);
  });

  it("is refused with a result code of its own, and other calls are served", async () => {
    const fleet = await startFleet();
    for (let round = 0; round < 18; round++) {
      await callDaemon(
        fleet,
        fleet.daemons[round % fleet.daemons.length]!,
        CRASHING_BODY,
        800,
      );
    }
    await fleet.clock.advance(8_000);
    const code = await callDaemon(fleet, fleet.daemons[4]!, CRASHING_BODY);
    const other = { model: "m", prompt: "good", max_tokens: 4 };
    assert.equal(code, 1406);
    assert.equal(await callDaemon(fleet, fleet.daemons[4]!, other), 0);
  });
});

/** A message that crashes engines, among others that sound calls share. */
const BAD_MESSAGE = { role: "user", content: "bad" };
const FIRST_MESSAGE = { role: "system", content: "first" };

function createBadBody(nth: number): object {
  return {
    model: "m",
    messages: [FIRST_MESSAGE, BAD_MESSAGE, { role: "user", content: `${nth}` }],
    max_tokens: 4,
    ends_server: true,
  };
}

function createSoundBody(nth: number): object {
  const own = { role: "user", content: `sound ${nth}` };
  return { model: "m", messages: [FIRST_MESSAGE, own], max_tokens: 4 };
}

describe("calls that differ and share a message that crashes engines", () => {
  it("are soon sent to engines no more, and those with the same first message are served", async () => {
    const fleet = await startFleet();
    const pickDaemon = (nth: number) =>
      fleet.daemons[nth % fleet.daemons.length]!;
    const codes: number[] = [];
    for (let round = 0; round < 60; round++) {
      codes.push(
        await callDaemon(fleet, pickDaemon(round), createSoundBody(round)),
      );
      await callDaemon(fleet, pickDaemon(round + 2), createBadBody(round));
    }
    const runs = listCrashingRuns(fleet);
    const late = runs.filter((atMs) =>
      atMs > (runs[4] ?? Infinity) + QUARANTINED_AFTER_MS
    );
    const lastCodes = codes.slice(-20);
    const served = lastCodes.filter((code) => code === 0);
    assert.ok(runs.length >= 3);
    assert.ok(late.length <= ALLOWED_SENDS, `${late.length} of ${runs.length}`);
    assert.ok(
      served.length >= lastCodes.length / 2,
      `${served.length} of ${lastCodes.length}`,
    );
  });
});
