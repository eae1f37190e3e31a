// Starts the project's program as the deploy file says, on loopback addresses of its own.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Draws a block of loopback addresses in which the ports that the fleet needs are free. */
export async function pickNetwork() {
  for (let attempt = 0; attempt < 20; attempt++) {
    const block = `127.${60 + Math.floor(Math.random() * 150)}.${Math.floor(Math.random() * 250)}`;
    if (await isFree(`${block}.1`, 8142) && await isFree(`${block}.11`, 8144)) return block;
  }
  throw new Error("no free loopback addresses");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** One machine with the gateway role. */
export class Machine {
  #folder = mkdtempSync(join(tmpdir(), "review-machine-"));
  #child;
  /** How the process ended by itself, if it did. */
  ends = [];

  constructor({ name, host, region, regions, seeds, store, bounds = {} }) {
    Object.assign(this, { name, host, region, regions, seeds, store, bounds });
    this.writeSettings(seeds);
  }

  /** Writes the settings file, with the fields and figures of DEPLOY.md. */
  writeSettings(seeds, more = {}) {
    const bounds = {
      seedLagS: 3, reuseAfterS: 2, contactMs: 5000, acknowledgeMs: 6000, catchUpS: 4, drainMs: 3000, graceS: 8,
      lossSlackMs: 200, configApplyMs: 3000, rollbackSlackMs: 250, unsettledMaxMs: 8000, budgetRatio: 0.2,
      budgetWindowS: 10, budgetSlack: 58, coldOvershoot: 1.5, coldSlack: 3, evacuationMs: 5000, recoveryS: 12,
      passMs: 600, reuseWindowS: 10, ttl_max_s: 5, ...this.bounds, ...more,
    };
    const lines = [
      `nodeName=${this.name}`, "role=gateway", "machineClass=front", "serves=front,directory,control",
      `ipAddress=${this.host}`, `zone=${this.region}-a`, `region=${this.region}`,
      ...this.regions.map((region) => `zones.${region}-a=${region}`),
      `listen.front=${this.host}:8144`, `listen.ready=${this.host}:8140`, `listen.control=${this.host}:8146`,
      `listen.directory=${this.host}:8143`, "internalPorts=7660,7675",
      `seeds=${seeds.map((seed) => `${seed}:8146`).join(",")}`, "bootstrap=true", "lossCounts=false",
      "limits.cpuShare=0.675", "limits.cores=1", "limits.memoryMb=350", "limits.fileDescriptors=4100",
      "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=directory", "heartbeatMs=1200",
      "contracts=base,drain,config,cost,retry,recover,engine,stream,places,platform",
      "tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=1",
      ...Object.entries(bounds).map(([name, value]) => `bounds.${name}=${value}`),
      `platform.address=${this.store}`, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
      "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
    ];
    writeFileSync(join(this.#folder, "node.conf"), lines.join("\n") + "\n");
  }

  start() {
    // The words of `run` in the deploy file.
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.#folder, HAVENSPUR_SETTINGS: join(this.#folder, "node.conf") },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.logs = "";
    child.stdout.on("data", (chunk) => this.logs += chunk);
    child.stderr.on("data", (chunk) => this.logs += chunk);
    child.once("exit", (code, signal) => this.ends.push({ code, signal }));
  }

  get pid() {
    return this.#child.pid;
  }

  get isRunning() {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.#child.kill(name);
  }

  isReady() {
    return new Promise((resolve) => {
      http.get({ host: this.host, port: 8140, path: "/havenspur/readiness", timeout: 500 }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      }).on("error", () => resolve(false)).on("timeout", function () {
        this.destroy();
      });
    });
  }

  async awaitReady(limitMs = 30_000) {
    const until = Date.now() + limitMs;
    while (!await this.isReady()) {
      if (Date.now() > until) throw new Error(`${this.name} is not ready`);
      await sleep(100);
    }
  }

  destroy() {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case; writes the record line by line, ends all processes, and exits with the verdict.
 *
 * @param recordPath File of the record, which is begun anew.
 */
export async function runCase(recordPath, run) {
  const startMs = Date.now();
  writeFileSync(recordPath, "");
  const record = (text) => appendFileSync(recordPath, `${((Date.now() - startMs) / 1000).toFixed(3)} s  ${text}\n`);
  const closers = [];
  const finish = (code) => {
    for (const close of closers.reverse()) {
      try {
        close();
      } catch { /* it has ended already */ }
    }
    process.exit(code);
  };
  const limit = setTimeout(() => {
    record("cannot run: over 110 s");
    finish(2);
  }, 110_000);
  limit.unref();
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => finish(2));
  try {
    const isTrouble = process.env.TROUBLE !== "0";
    record(`disruption: ${isTrouble ? "yes" : "no (TROUBLE=0)"}`);
    const verdict = await run({ record, isTrouble, onEnd: (close) => closers.push(close) });
    record(`verdict: ${verdict ? "the rule was broken" : "the rule held"}`);
    finish(verdict ? 1 : 0);
  } catch (error) {
    record(`cannot run: ${error.stack}`);
    console.error(error);
    finish(2);
  }
}
