import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { OperatorClient } from "../bin/operator_client.ts";
import { startDeployment } from "../bin/start_deployment.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

const EXAMPLE = fileURLToPath(
  new URL("../../examples/torra-nordeste", import.meta.url),
);
const DAEMON = fileURLToPath(new URL("../bin/havenspurd.js", import.meta.url));
const WARM_UP_MS = 5_000;
const RUN_MS = 15_000;

/** Measures daemons without load over real sockets: processor time, heartbeat bytes, and the memory of one process. */
export async function runIdleBench(): Promise<BenchResult> {
  const deployment = await startDeployment(EXAMPLE);
  const { daemons } = deployment;
  const operator = new OperatorClient({
    servers: daemons.map(({ record }) => record.callerUrl),
    token: "operator-token-example",
  });
  await operator.call("POST", "/api/v1/changes", {
    changes: deployment.resources,
  });
  await wait(WARM_UP_MS);
  const sentBefore = daemons.map(({ heartbeatBytes }) => heartbeatBytes.sent);
  const cpu = process.cpuUsage();
  await wait(RUN_MS);
  const spent = process.cpuUsage(cpu);
  const seconds = RUN_MS / 1_000;
  const sent = daemons.map(({ heartbeatBytes }, at) =>
    (heartbeatBytes.sent - sentBefore[at]!) / seconds
  );
  const cpuMillis = (spent.user + spent.system) / 1_000 / seconds /
    daemons.length;
  const residentMegabytes = await measureResidentMegabytes(
    deployment.standins.platform.url,
  );
  await deployment.stop();
  return {
    head: [
      "CPU MS/S",
      "HEARTBEATS SENT B/S, MIN",
      "MAX",
      "RESIDENT MB OF ONE PROCESS",
    ],
    rows: [[
      toCell(cpuMillis),
      toCell(Math.min(...sent), 0),
      toCell(Math.max(...sent), 0),
      toCell(residentMegabytes),
    ]],
    figures: {
      cpu_ms_per_s: cpuMillis,
      sent_max: Math.max(...sent),
      resident: residentMegabytes,
    },
    notes: [
      "CPU and bytes for each of nine daemons in one process, which includes the stand-ins",
    ],
  };
}

/** Returns the resident memory of a daemon in a process of its own, in MB. */
async function measureResidentMegabytes(platformUrl: string): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), "havenspur-"));
  const file = join(folder, "idle.toml");
  const settings = readFileSync(
    join(EXAMPLE, "daemons", "recife-a-i1.toml"),
    "utf8",
  )
    .replace(/address = ".*"/, 'address = "127.0.0.1:0"')
    .replace(/_url = ".*"/g, `_url = "${platformUrl}"`);
  writeFileSync(file, settings);
  const child = spawn(process.execPath, [DAEMON, "--settings", file]);
  child.stdout.resume();
  await wait(WARM_UP_MS);
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  child.kill("SIGKILL");
  await once(child, "exit");
  rmSync(folder, { recursive: true });
  return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) / 1_000;
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
