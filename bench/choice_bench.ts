import { createRoute, createRouteTable } from "../tests/route_fixture.ts";
import { VirtualFleet } from "../tests/virtual_fleet.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

/** Instances and servers of three regions. */
const REGIONS = {
  north: { instances: 30, servers: 90 },
  south: { instances: 30, servers: 90 },
  west: { instances: 14, servers: 40 },
} as const;
/** Time before calls come, in milliseconds: all have heard of each other. */
const WARM_MS = 1_500;
const RUN_MS = 6_000;
/** Calls that come every so many milliseconds. */
const CALLS_AT_ONCE = 3;
const CALLS_EVERY_MS = 10;
/** Time that servers work, in milliseconds: shorter than the way to another region. */
const WORK_MS = 100;

/** Measures the processor time of instances that choose among many servers. */
export async function runChoiceBench(): Promise<BenchResult> {
  const fleet = new VirtualFleet({
    regions: REGIONS,
    table: createRouteTable([createRoute("/a/")]),
    decide: () => ({ kind: "answer", afterMs: WORK_MS }),
  });
  await fleet.clock.advance(WARM_MS);
  const before = process.cpuUsage();
  for (let ranMs = 0; ranMs < RUN_MS; ranMs += CALLS_EVERY_MS) {
    Array.from(
      { length: CALLS_AT_ONCE },
      (_, at) => void fleet.call(`call ${ranMs} ${at}`),
    );
    await fleet.clock.advance(CALLS_EVERY_MS);
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
    notes: ["With the stand-ins and the virtual clock; differs between runs."],
  };
}
