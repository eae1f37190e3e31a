import assert from "node:assert/strict";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { systemClock } from "../adapters/system_clock.ts";
import { toOwnLoopback } from "../standin/loopback_net.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import {
  createAnswer,
  createRequest,
  TEST_HOST,
} from "./http_gateway_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** The bundle that the platform runs, which leaves parts of libraries out. */
const PROGRAM = buildProgram();

function buildProgram(): string {
  const path = join(mkdtempSync(join(tmpdir(), "program-")), "havenspur.cjs");
  const words = ["run", "-s", "build:platform", "--", `--outfile=${path}`];
  execFileSync("npm", words, { cwd: ROOT });
  return path;
}

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

interface Instance {
  readonly process: ChildProcess;
  readonly host: string;
  readonly ports: Ports;
}

interface Ports {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly control: number;
  readonly peers: number;
}

/** Free on every address that only this process uses. */
const PORTS: Ports = {
  callers: 8_144,
  readiness: 8_140,
  directory: 8_143,
  control: 8_146,
  peers: 7_660,
};

function startInstance(
  name: string,
  host: string,
  seedHost: string,
  storeAddress: string,
): Instance {
  const ports = PORTS;
  const path = join(mkdtempSync(join(tmpdir(), "instance-")), "node.conf");
  writeFileSync(
    path,
    [
      `nodeName=${name}`,
      `ipAddress=${host}`,
      "zone=north-a",
      "region=north",
      "zones.north-a=north",
      `listen.front=${host}:${ports.callers}`,
      `listen.ready=${host}:${ports.readiness}`,
      `listen.directory=${host}:${ports.directory}`,
      `listen.control=${host}:${ports.control}`,
      `internalPorts=${ports.peers},${ports.peers}`,
      `seeds=${seedHost}:${ports.control}`,
      "bounds.graceS=8",
      `platform.address=${storeAddress}`,
    ].join("\n"),
  );
  const child = spawn(process.execPath, [PROGRAM], {
    env: { PATH: process.env.PATH, HAVENSPUR_SETTINGS: path },
    stdio: ["ignore", "ignore", "inherit"],
  });
  CLEAN_UPS.push(() => child.kill("SIGKILL"));
  return { process: child, host, ports };
}

async function readStatus(url: string): Promise<number> {
  try {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode;
  } catch {
    // Not listening yet, or not any more.
    return 0;
  }
}

async function awaitThat(isSo: () => Promise<boolean>): Promise<void> {
  while (!await isSo()) await new Promise((resolve) => setTimeout(resolve, 30));
}

function awaitReady({ host, ports, process }: Instance): Promise<void> {
  const url = `http://${host}:${ports.readiness}/havenspur/readiness`;
  return awaitThat(async () => {
    assert.equal(process.exitCode, null, "the instance has ended");
    return await readStatus(url) === 200;
  });
}

async function listEntries(
  { host, ports }: Instance,
): Promise<readonly string[]> {
  const url = `http://${host}:${ports.directory}/havenspur/resolve` +
    `?name=${TEST_HOST}&region=north&zone=north-a`;
  const { statusCode, body } = await request(url);
  if (statusCode !== 200) {
    await body.dump();
    return [];
  }
  const answer = await body.json() as { readonly addresses: readonly string[] };
  return [...answer.addresses].sort();
}

async function startPlatform(answer: Parameters<typeof startRawServer>[0]) {
  const server = await startRawServer(answer);
  const store = new MemoryStore(systemClock);
  const standin = await startStoreStandin(store);
  CLEAN_UPS.push(() => standin.close(), () => server.close());
  const put = async (key: string, value: unknown) => {
    const known = (await store.read(key))._unsafeUnwrap();
    await store.swap({
      key,
      value: JSON.stringify(value),
      expectedRevision: known?.revision ?? 0,
    });
  };
  await put("servers/s1", {
    service: "app",
    address: server.address,
    zone: "north-a",
    slots: 8,
    state: "ready",
  });
  await put("op/config", {
    version: 1,
    routes: [{
      name: "r",
      host: TEST_HOST,
      prefix: "/a/",
      kind: "unsafe",
      timeoutMs: 5_000,
      service: "app",
    }],
    services: [{ name: "app" }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
  return { store, standin, server };
}

describe("two instances as processes of their own", () => {
  it("serve, name each other in the directory, and cut nothing when one leaves", async () => {
    let finish = () => {};
    const { standin } = await startPlatform((_, socket) => {
      finish = () => socket.write(createAnswer("c1", "late but whole"));
    });
    const hosts = [toOwnLoopback(1), toOwnLoopback(2)] as const;
    const [seed] = hosts;
    const ports = PORTS;
    const first = startInstance("a", hosts[0], seed, standin.address);
    const second = startInstance("b", hosts[1], seed, standin.address);
    await Promise.all([awaitReady(first), awaitReady(second)]);
    const both = [first, second].map(({ host }) => `${host}:${ports.callers}`);
    await awaitThat(async () =>
      (await listEntries(first)).join() === both.join()
    );
    const caller = await openRawCaller(ports.callers, second.host);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(
      createRequest("/a/x", { method: "POST", body: "change" }),
    );
    await awaitThat(() => Promise.resolve(String(finish).includes("write")));
    second.process.kill("SIGTERM");
    await awaitThat(async () => (await listEntries(first)).join() === both[0]);
    const url = `http://${second.host}:${ports.readiness}/havenspur/readiness`;
    assert.equal(await readStatus(url), 503);
    finish();
    const answer = await caller.awaitText("late but whole");
    assert.match(answer, /^HTTP\/1\.1 200 OK/);
    const [code] = await once(second.process, "exit");
    assert.equal(code, 0);
  });

  it("learn the state from each other when one starts without the store", async () => {
    const { standin } = await startPlatform((_, socket) =>
      socket.write(createAnswer("c1", "served"))
    );
    const hosts = [toOwnLoopback(3), toOwnLoopback(4)] as const;
    const [seed] = hosts;
    const ports = PORTS;
    const first = startInstance("a", hosts[0], seed, standin.address);
    await awaitReady(first);
    const nowhere = `${toOwnLoopback(5)}:1`;
    const second = startInstance("b", hosts[1], seed, nowhere);
    await awaitReady(second);
    const caller = await openRawCaller(ports.callers, second.host);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(createRequest("/a/x"));
    assert.match(await caller.awaitText("served"), /^HTTP\/1\.1 200 OK/);
  });
});
