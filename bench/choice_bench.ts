import { createRoute, createRouteTable } from "../tests/route_fixture.ts";
import { VirtualFleet } from "../tests/virtual_fleet.ts";
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
  const fleet = new VirtualFleet({
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
  return {
    head: ["instances", "calls", "processor ms a second and instance"],
    rows: [[
      String(instances),
      String(fleet.arrivals.length),
      toCell(perInstanceMs),
    ]],
    figures: { cpu_ms_a_second_and_instance: perInstanceMs },
    notes: [
      "Includes the stand-ins and the virtual clock; differs between runs.",
    ],
  };
}
