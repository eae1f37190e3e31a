// Streams were closed midway while all engines of their region were silent for a second: an instance of another region let them wait, and refused them.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import type { Arrival, CallOutcome, VirtualFleet } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

/** How long the engines are silent, in milliseconds. */
const SILENT_MS = 1_450;
const EVENTS = 10;
/** Events of the streams that take places in the other region. */
const MANY_EVENTS = 100;
const GAP_MS = 40;
/** Sequences of an engine. */
const SEQUENCES = 8;
/** Streams that run when the silence begins: fewer than the engine has sequences. */
const STREAMS = 6;

interface SilentRegion {
  readonly fleet: VirtualFleet;
  silence(): void;
}

/** Starts a region whose engine can be silenced, and another one with one engine. */
async function startFleet(): Promise<SilentRegion> {
  let untilMs = 0;
  const fleet = await startVirtualFleet({
    regions: {
      north: { instances: 2, servers: 1 },
      south: { instances: 1, servers: 1 },
    },
    table: createRouteTable(
      [
        createRoute("/a/", undefined, {
          routeClass: "stream",
          isResumable: true,
        }),
        createRoute("/full/", ["south"], { routeClass: "stream" }),
      ],
      {
        maxConnections: 1_000,
        engine: { maxSequences: SEQUENCES, cacheTokens: 1_000_000 },
      },
    ),
    slots: SEQUENCES,
    decide: ({ target }: Arrival) => ({
      kind: "stream",
      afterMs: 20,
      gapMs: GAP_MS,
      events: target.startsWith("/full/") ? MANY_EVENTS : EVENTS,
    }),
    readSilentUntilMs: (server) => server.startsWith("north") ? untilMs : 0,
  });
  return {
    fleet,
    silence: () => (untilMs = fleet.clock.nowMs() + SILENT_MS),
  };
}

function startStreams(fleet: VirtualFleet): Promise<CallOutcome>[] {
  return Array.from({ length: STREAMS }, (_, at) =>
    fleet.send({
      body: `stream ${at}`,
      address: `north-${at % 2}`,
      awaitsEnd: true,
    }));
}

function countEvents({ body = "" }: CallOutcome): number {
  return body.split("id: ").length - 1;
}

describe("streams whose engines are all silent for a second", () => {
  [0, SEQUENCES - 1].forEach((taken) => {
    it(`are whole, each event once, while another region has ${taken} of ${SEQUENCES} places taken`, async () => {
      const { fleet, silence } = await startFleet();
      Array.from(
        { length: taken },
        (_, at) => void fleet.call(`other ${at}`, "south-0", "/full/x"),
      );
      await fleet.clock.advance(400);
      const streams = startStreams(fleet);
      await fleet.clock.advance(100);
      silence();
      await fleet.clock.advance(7_000);
      const outcomes = await Promise.all(streams);
      assert.deepEqual(
        outcomes.map(countEvents),
        Array.from({ length: STREAMS }, () => EVENTS),
      );
    });
  });
});
