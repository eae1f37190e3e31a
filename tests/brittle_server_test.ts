import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import {
  type Arrival,
  type ServerAction,
  VirtualFleet,
} from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

/** Rejections a second after which a brittle server fails. */
const TOLERATED_PER_SECOND = 6;
/** Time after which an instance respects what a server advertises, in milliseconds. */
const CONTACT_MS = 5_000;
const SLOTS = 6;
/** Time for which a call occupies a slot, in milliseconds. */
const RUN_MS = 40;
/** Time between two bursts, in milliseconds. */
const BURST_INTERVAL_MS = 400;

/** Servers that let no call wait, and count the calls that they reject. */
class BrittleServers {
  isBrittle = false;
  /** Times of rejections, by server. */
  readonly rejectedMs = new Map<string, number[]>();
  readonly #endsMs = new Map<string, number[]>();

  decide({ atMs, server }: Arrival): ServerAction {
    const running = (this.#endsMs.get(server) ?? []).filter((ms) => ms > atMs);
    this.#endsMs.set(server, running);
    const queued = this.isBrittle ? 0 : SLOTS;
    if (running.length >= SLOTS + queued) {
      this.rejectedMs.set(server, [
        ...this.rejectedMs.get(server) ?? [],
        atMs,
      ]);
      return { kind: "reject", headers: [] };
    }
    const freeMs = running.length < SLOTS ? atMs : Math.min(...running);
    running.push(freeMs + RUN_MS);
    return { kind: "answer", afterMs: freeMs + RUN_MS - atMs };
  }

  /** Returns the largest number of rejections in a second at one server. */
  countMaxRejections(fromMs: number): number {
    const counts = [...this.rejectedMs.values()].flatMap((times) =>
      times.filter((atMs) => atMs >= fromMs).map((first) =>
        times.filter((atMs) => atMs >= first && atMs < first + 1_000).length
      )
    );
    return Math.max(0, ...counts);
  }
}

interface BrittleFleet {
  readonly fleet: VirtualFleet;
  readonly servers: BrittleServers;
}

async function startFleet(instances: number): Promise<BrittleFleet> {
  const servers = new BrittleServers();
  const fleet = await startVirtualFleet({
    regions: { north: { instances, servers: 2 } },
    table: createRouteTable([createRoute("/a/")], { maxConnections: 1_000 }),
    slots: SLOTS,
    decide: (arrival) => servers.decide(arrival),
    answerHeaders: () =>
      servers.isBrittle
        ? ["X-Rejection-Limit", String(TOLERATED_PER_SECOND)]
        : [],
  });
  return { fleet, servers };
}

/** Sends a burst of calls again and again. Returns the share that is served. */
async function sendBursts(
  { fleet }: BrittleFleet,
  size: number,
  durationMs: number,
): Promise<number> {
  const statuses: number[] = [];
  let sent = 0;
  const addresses = [...fleet.gateways.keys()];
  for (let atMs = 0; atMs < durationMs; atMs += BURST_INTERVAL_MS) {
    Array.from({ length: size }, (_, at) => {
      sent++;
      const address = addresses[at % addresses.length]!;
      void fleet.call(`call ${atMs} ${at}`, address)
        .then(({ status }) => statuses.push(status));
    });
    await fleet.clock.advance(BURST_INTERVAL_MS);
  }
  await fleet.clock.advance(2_000);
  return statuses.filter((status) => status === 200).length / sent;
}

describe("a server that fails if it rejects too many calls a second", () => {
  [3, 12].forEach((instances) => {
    it(`rejects fewer from ${instances} instances together, in bursts beyond its slots`, async () => {
      const brittle = await startFleet(instances);
      const { fleet, servers } = brittle;
      await sendBursts(brittle, 12, 2_000);
      servers.isBrittle = true;
      await sendBursts(brittle, 12, CONTACT_MS);
      const fromMs = fleet.clock.nowMs();
      const served = await sendBursts(brittle, 36, 8_000);
      assert.ok(
        servers.countMaxRejections(fromMs) <= TOLERATED_PER_SECOND,
        `${servers.countMaxRejections(fromMs)} rejections in a second`,
      );
      assert.ok(served >= 0.5, `${served} of the calls served`);
    });
  });

  it("gets as many calls as before once it no longer says so", async () => {
    const brittle = await startFleet(3);
    const { fleet, servers } = brittle;
    servers.isBrittle = true;
    await sendBursts(brittle, 12, CONTACT_MS);
    servers.isBrittle = false;
    await sendBursts(brittle, 12, CONTACT_MS);
    const arrivedBefore = fleet.arrivals.length;
    const served = await sendBursts(brittle, 24, 4_000);
    assert.equal(served, 1);
    assert.ok(fleet.arrivals.length - arrivedBefore >= 240);
  });
});
