import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import type { FleetReport } from "../fleet/mod.ts";
import { createReport } from "./report_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

const REGIONS = ["north", "south", "west"] as const;

interface SentReport {
  readonly from: string;
  readonly to: string;
  readonly report: FleetReport;
}

/** Starts instances in three regions that receive reports without delay. */
function startFleet(perRegion: number) {
  const clock = new VirtualClock();
  const sent: SentReport[] = [];
  const gateways = new Map<string, HttpGateway>();
  const ends = new Map<string, AbortController>();
  const addresses = REGIONS.flatMap((region) =>
    Array.from({ length: perRegion }, (_, at) => `${region}-${at}`)
  );
  addresses.forEach((address) => {
    const end = new AbortController();
    const gateway = createVirtualGateway(address, {
      clock,
      seedAddresses: ["north-0"],
      sendReport: (report, to) =>
        to.forEach((other) => {
          if (end.signal.aborted) return;
          sent.push({ from: address, to: other, report });
          if (ends.get(other)?.signal.aborted) return;
          gateways.get(other)?.receiveReport(report, address);
        }),
    });
    gateways.set(address, gateway);
    ends.set(address, end);
  });
  gateways.forEach((gateway, address) =>
    gateway.start(ends.get(address)!.signal)
  );
  const countBetweenRegions = () =>
    sent.filter(({ from, to }) => from.split("-")[0] !== to.split("-")[0])
      .length;
  return { clock, sent, gateways, ends, countBetweenRegions };
}

describe("reports between regions", () => {
  it("reach every instance with at most 60 datagrams a second between regions", async () => {
    const { clock, countBetweenRegions, gateways, sent } = startFleet(5);
    await clock.advance(5_000);
    sent.length = 0;
    await clock.advance(6_000);
    gateways.forEach((gateway) =>
      assert.equal(gateway.fleet.countLive(clock.nowMs()), 15)
    );
    // For ten instances in other regions, two representatives would take 20 datagrams a second each way.
    const perSecond = countBetweenRegions() / 6;
    assert.ok(perSecond <= 60, `${perSecond} datagrams a second`);
  });

  it("continue when the first instances of all regions crash", async () => {
    const { clock, ends, gateways } = startFleet(4);
    await clock.advance(5_000);
    REGIONS.forEach((region) => ends.get(`${region}-0`)?.abort("crashed"));
    let minLiveCount = Number.POSITIVE_INFINITY;
    // Live instances stay known all the time, and crashed ones are removed.
    for (let step = 0; step < 60; step++) {
      await clock.advance(100);
      gateways.forEach((gateway, address) => {
        if (ends.get(address)?.signal.aborted) return;
        minLiveCount = Math.min(
          minLiveCount,
          gateway.fleet.countLive(clock.nowMs()),
        );
      });
    }
    assert.equal(minLiveCount, 9);
    gateways.forEach((gateway, address) => {
      if (ends.get(address)?.signal.aborted) return;
      assert.equal(gateway.fleet.countLive(clock.nowMs()), 9);
    });
  });

  it("are passed on once, even if two instances consider themselves representatives and both send them", async () => {
    const { clock, gateways, sent } = startFleet(3);
    await clock.advance(5_000);
    sent.length = 0;
    const { self } = gateways.get("south-0")!.fleet;
    const report = createReport(self, 1_000_000, { scope: "region" });
    gateways.get("north-0")!.receiveReport(report, "south-0");
    gateways.get("north-0")!.receiveReport(report, "south-0");
    assert.deepEqual(sent.map(({ to }) => to).sort(), ["north-1", "north-2"]);
  });
});
