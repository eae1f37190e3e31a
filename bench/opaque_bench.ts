import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { startGateway } from "../tests/http_gateway_fixture.ts";
import { startBareForwarder } from "./bare_forwarder.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import type { OpaqueRound } from "./opaque_load.ts";

const ROUNDS = 5;
const ROUND_MS = 1_500;
const KINDS = [
  { name: "plain", path: "/a/x", rate: 400, bodyBytes: 0 },
  { name: "34 KB up", path: "/a/x", rate: 200, bodyBytes: 34_000 },
  { name: "20 events", path: "/a/stream", rate: 100, bodyBytes: 770 },
] as const;

/**
 * Measures the processor time of a forwarded call beside a forwarder that only
 * copies, in turns inside one run. Server and load have a thread each.
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
  for (const kind of KINDS) {
    const round = { ...kind, durationMs: ROUND_MS };
    const busyMs = { bare: 0, gateway: 0 };
    for (let count = 0; count <= ROUNDS; count++) {
      const bareMs = await measure(load, round, bare);
      const gatewayMs = await measure(load, round, gateway);
      // The first round warms up caches and the compiler.
      if (count === 0) continue;
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
    notes: ["time that the forwarder's thread is busy for a call"],
  };
}

async function measure(
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
  const [whole] = await once(load, "message") as [number];
  const busy = performance.eventLoopUtilization(start).active;
  const wanted = Math.floor((round.rate * round.durationMs) / 1_000);
  if (whole !== wanted) {
    throw new Error(`Only ${whole} of ${wanted} were whole`);
  }
  return busy;
}
