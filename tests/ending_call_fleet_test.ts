// What callers would see with `havenspurd`: a call under which model engines end is
// repeated by its caller and ends one engine after the other. The cause is the one of the
// gateway of plain HTTP calls (see server_ending_call_test.ts): what a call did to engines
// was forgotten with it, and known to one daemon.
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
const ENDING = { model: "m", prompt: "bad", max_tokens: 4, ends_server: true };
/** Time after which all daemons know, in milliseconds: as users measure it. */
const KNOWN_AFTER_MS = 5_000;
const ALLOWED_SENDS = 3;

const FLEETS: FakeFleet[] = [];
afterEach(() => FLEETS.splice(0).forEach((fleet) => fleet.stop()));

async function start(): Promise<FakeFleet> {
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

/** Calls a daemon and returns the result code; 0: it was answered. */
async function ask(
  fleet: FakeFleet,
  daemon: FakeDaemon,
  body: object,
  forMs = 2_500,
): Promise<number> {
  const asked = fleet.call(daemon, {
    token: TOKEN,
    path: "/v1/completions",
    headers: { "x-deadline-ms": "2000" },
    body,
  });
  await fleet.clock.advance(forMs);
  const reply = await asked;
  return Number(reply.headers["x-result-code"] ?? "0");
}

function listEndingRuns({ backend }: FakeFleet): readonly number[] {
  return [...backend.engines.values()].flatMap(({ runs }) => runs)
    .filter(({ body }) => body.includes("ends_server"))
    .map(({ atMs }) => atMs).sort((a, b) => a - b);
}

describe("a call under which engines end", () => {
  it("is kept from them by all daemons once it has ended three", async () => {
    const fleet = await start();
    for (let turn = 0; turn < 36; turn++) {
      await ask(
        fleet,
        fleet.daemons[turn % fleet.daemons.length]!,
        ENDING,
        800,
      );
    }
    const runs = listEndingRuns(fleet);
    const late = runs.filter((atMs) => atMs > runs[2]! + KNOWN_AFTER_MS);
    assert.ok(runs.length >= 3);
    assert.ok(late.length <= ALLOWED_SENDS, `${late.length} of ${runs.length}`);
  });

  it("is tried at no further engine once its own attempts have ended three", async () => {
    const fleet = await start();
    const [daemon] = fleet.daemons;
    // Two engines of the region end, and the one that is back first a second time.
    await ask(fleet, daemon!, ENDING, 800);
    await fleet.clock.advance(12_000);
    const code = await ask(fleet, daemon!, ENDING, 2_500);
    assert.equal(code, 1401);
    assert.equal(listEndingRuns(fleet).length, 3);
  });

  it("is refused with a code of its own, and other calls are served", async () => {
    const fleet = await start();
    for (let turn = 0; turn < 18; turn++) {
      await ask(
        fleet,
        fleet.daemons[turn % fleet.daemons.length]!,
        ENDING,
        800,
      );
    }
    await fleet.clock.advance(8_000);
    const code = await ask(fleet, fleet.daemons[4]!, ENDING);
    const other = { model: "m", prompt: "good", max_tokens: 4 };
    assert.equal(code, 1406);
    assert.equal(await ask(fleet, fleet.daemons[4]!, other), 0);
  });
});
