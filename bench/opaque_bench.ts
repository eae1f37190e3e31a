import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { startGateway } from "../tests/http_gateway_fixture.ts";
import { startBareForwarder } from "./bare_forwarder.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import type { OpaqueRound } from "./opaque_load.ts";

const ROUNDS = 5;
const ROUND_MS = 1_500;
const CALL_KINDS = [
  { name: "plain", path: "/a/x", rate: 400, bodyBytes: 0 },
  { name: "34 KB up", path: "/a/x", rate: 200, bodyBytes: 34_000 },
  { name: "20 events", path: "/a/stream", rate: 100, bodyBytes: 770 },
] as const;

/**
 * Measures the processor time of a forwarded call, compared with a bare
 * forwarder that only copies bytes. Rounds of both alternate within one run.
 * The server and the load generator each run in a thread of their own.
 */
export async function runOpaqueBench(): Promise<BenchResult> {
  const backend = new Worker(new URL("./opaque_backend.js", import.meta.url));
  const [backendPort] = await once(backend, "message") as [number];
  const gateway = await startGateway({
    routes: [{
      prefix: "/a/",
      kind: "streaming",
      resumable: true,
      maxAttempts: 2,
    }],
    servers: { s1: `127.0.0.1:${backendPort}` },
    slots: 10_000,
  });
  const bare = await startBareForwarder(backendPort);
  const load = new Worker(new URL("./opaque_load.js", import.meta.url));
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const kind of CALL_KINDS) {
    const round = { ...kind, durationMs: ROUND_MS };
    const busyMs = { bare: 0, gateway: 0 };
    for (let roundIndex = 0; roundIndex <= ROUNDS; roundIndex++) {
      const bareMs = await measureBusyMs(load, round, bare);
      const gatewayMs = await measureBusyMs(load, round, gateway);
      // The first round only warms up caches and the JIT compiler.
      if (roundIndex === 0) continue;
      busyMs.bare += bareMs;
      busyMs.gateway += gatewayMs;
    }
    const calls = kind.rate * ROUNDS * ROUND_MS / 1_000;
    const ratio = busyMs.gateway / busyMs.bare;
    rows.push([
      kind.name,
      toCell(1_000 * busyMs.bare / calls, 0),
      toCell(1_000 * busyMs.gateway / calls, 0),
      toCell(ratio, 2),
    ]);
    const name = kind.name.replaceAll(" ", "_");
    figures[`us_${name}`] = 1_000 * busyMs.gateway / calls;
    figures[`ratio_${name}`] = ratio;
  }
  await load.terminate();
  await backend.terminate();
  bare.close();
  gateway.close();
  return {
    head: ["CALL", "BARE US", "GATEWAY US", "RATIO"],
    rows,
    figures,
    notes: ["time that the thread of the forwarder is busy, per call"],
  };
}

async function measureBusyMs(
  load: Worker,
  kind: Omit<OpaqueRound, "url"> & { readonly path: string },
  { host = "127.0.0.1", port }: {
    readonly host?: string;
    readonly port: number;
  },
): Promise<number> {
  const { path, ...round } = kind;
  const start = performance.eventLoopUtilization();
  load.postMessage({ ...round, url: `http://${host}:${port}${path}` });
  const [completeCount] = await once(load, "message") as [number];
  const busy = performance.eventLoopUtilization(start).active;
  const callCount = Math.floor((round.rate * round.durationMs) / 1_000);
  if (completeCount !== callCount) {
    throw new Error(
      `Wanted a complete answer to each call, got ${completeCount} of ${callCount}`,
    );
  }
  return busy;
}
