import { createRoute, createRouteTable } from "../tests/route_fixture.ts";
import { createRandom } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { toVersionedServer } from "../forwarding/mod.ts";
import { toIncarnation, toInstanceId, toRegionId } from "../ids/mod.ts";
import { RolloutTracker } from "../rollouts/mod.ts";
import {
  VirtualFleet,
  type VirtualFleetParts,
} from "../tests/virtual_fleet.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

/** Numbers of instances and servers in each of three regions. */
const REGIONS = {
  north: { instances: 30, servers: 90 },
  south: { instances: 30, servers: 90 },
  west: { instances: 14, servers: 40 },
} as const;
/** Time before the first call, in milliseconds, in which all instances learn of each other. */
const WARM_UP_MS = 1_500;
const RUN_MS = 6_000;
/** Number of calls that start together in every interval. */
const BURST_CALLS = 3;
const BURST_INTERVAL_MS = 10;
/** Time that a server takes for a call, in milliseconds: shorter than the round trip to another region. */
const SERVICE_TIME_MS = 100;

/** Measures the processor time that instances spend on choosing among many servers. */
export async function runChoiceBench(): Promise<BenchResult> {
  const first = await measure({});
  // The engine has optimized the code by now, so that only these two are alike.
  const off = await measure({});
  const idle = await measure(createTrackedParts());
  return {
    head: [
      "rollouts",
      "instances",
      "calls",
      "processor ms a second and instance",
    ],
    rows: [["off, first run", ...first.row], ["off", ...off.row], [
      "no order",
      ...idle.row,
    ]],
    figures: {
      cpu_ms_a_second_and_instance: first.perInstanceMs,
      warm_cpu_ms_a_second_and_instance: off.perInstanceMs,
      warm_with_rollouts_cpu_ms_a_second_and_instance: idle.perInstanceMs,
    },
    notes: [
      "Includes the stand-ins and the virtual clock; differs between runs.",
    ],
  };
}

/** Returns parts of a fleet that has rollouts, none of which is ordered. */
function createTrackedParts(): Partial<VirtualFleetParts> {
  const trackers = new Map<string, RolloutTracker>();
  return {
    createRollouts: (address, clock) => {
      const tracker = new RolloutTracker({
        clock,
        random: createRandom(trackers.size),
        bounds: {
          exposureShare: 0.1,
          exposureSlack: 50,
          rollbackMs: 5_000,
          contactMs: 6_000,
        },
        fleet: {
          instance: toInstanceId(address),
          incarnation: toIncarnation("1"),
          region: toRegionId(address.split("-")[0]!),
          listMembers: () => [],
          isInTouch: () => true,
        },
      });
      trackers.set(address, tracker);
      return tracker;
    },
    onServers: (address, { registry }: HttpGateway) =>
      trackers.get(address)!.applyServers(
        registry.servers.map((server) =>
          toVersionedServer(server, server.entry.version!)
        ),
      ),
  };
}

async function measure(rollouts: Partial<VirtualFleetParts>) {
  const fleet = new VirtualFleet({
    ...rollouts,
    regions: REGIONS,
    table: createRouteTable([createRoute("/a/")]),
    decide: () => ({ kind: "answer", afterMs: SERVICE_TIME_MS }),
  });
  await fleet.clock.advance(WARM_UP_MS);
  const before = process.cpuUsage();
  for (let ranMs = 0; ranMs < RUN_MS; ranMs += BURST_INTERVAL_MS) {
    Array.from(
      { length: BURST_CALLS },
      (_, at) => void fleet.call(`call ${ranMs} ${at}`),
    );
    await fleet.clock.advance(BURST_INTERVAL_MS);
  }
  const cpuMs = process.cpuUsage(before).user / 1_000;
  fleet.stop();
  const instances = fleet.gateways.size;
  const perInstanceMs = cpuMs / instances / (RUN_MS / 1_000);
  const row = [
    String(instances),
    String(fleet.arrivals.length),
    toCell(perInstanceMs),
  ];
  return { perInstanceMs, row };
}
