import assert from "node:assert/strict";
import { dirname } from "node:path";
import { rmSync } from "node:fs";
import { after, afterEach, describe, it } from "node:test";
import { systemClock } from "../adapters/system_clock.ts";
import { buildProgram } from "../standin/build_program.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import {
  PLATFORM_PORTS,
  PlatformProcess,
} from "../standin/platform_process.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import {
  createAnswer,
  createRequest,
  TEST_HOST,
} from "./http_gateway_fixture.ts";
import { createServerDocument } from "./document_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";

const PROGRAM = buildProgram();
const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));
after(() => rmSync(dirname(PROGRAM), { recursive: true, force: true }));

function startInstance(
  name: string,
  host: string,
  seedHost: string,
  storeAddress: string,
): PlatformProcess {
  const instance = new PlatformProcess({
    program: PROGRAM,
    name,
    host,
    region: "north",
    regions: ["north"],
    seedHosts: [seedHost],
    storeAddress,
    graceS: 8,
  });
  CLEAN_UPS.push(() => instance.destroy());
  instance.start();
  return instance;
}

async function awaitCondition(poll: () => Promise<boolean>): Promise<void> {
  while (!await poll()) await new Promise((resolve) => setTimeout(resolve, 30));
}

function awaitReady(instance: PlatformProcess): Promise<void> {
  return awaitCondition(async () => {
    assert.notEqual(instance.pid, undefined, "the instance has ended");
    return await instance.isReady();
  });
}

async function listEntries(
  instance: PlatformProcess,
): Promise<readonly string[]> {
  return [...await instance.listEntries(TEST_HOST) ?? []].sort();
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
  await put("servers/s1", createServerDocument({ address: server.address }));
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

describe("two instances in processes of their own", () => {
  it("serve, list each other in the directory, and complete calls when one shuts down", async () => {
    let finish = () => {};
    const { standin } = await startPlatform((_, socket) => {
      finish = () => socket.write(createAnswer("c1", "late but whole"));
    });
    const hosts = [toLoopbackAddress(1), toLoopbackAddress(2)] as const;
    const [seed] = hosts;
    const first = startInstance("a", hosts[0], seed, standin.address);
    const second = startInstance("b", hosts[1], seed, standin.address);
    await Promise.all([awaitReady(first), awaitReady(second)]);
    const both = [first, second].map(({ host }) =>
      `${host}:${PLATFORM_PORTS.callers}`
    );
    await awaitCondition(async () =>
      (await listEntries(first)).join() === both.join()
    );
    const caller = await openRawCaller(PLATFORM_PORTS.callers, second.host);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(
      createRequest("/a/x", { method: "POST", body: "change" }),
    );
    await awaitCondition(() =>
      Promise.resolve(String(finish).includes("write"))
    );
    second.signal("SIGTERM");
    await awaitCondition(async () =>
      (await listEntries(first)).join() === both[0]
    );
    assert.equal(await second.readReadiness(), 503);
    finish();
    const answer = await caller.awaitText("late but whole");
    assert.match(answer, /^HTTP\/1\.1 200 OK/);
    assert.equal(await second.awaitExit(), 0);
  });

  it("get the state from each other when one starts without the store", async () => {
    const { standin } = await startPlatform((_, socket) =>
      socket.write(createAnswer("c1", "served"))
    );
    const hosts = [toLoopbackAddress(3), toLoopbackAddress(4)] as const;
    const [seed] = hosts;
    const first = startInstance("a", hosts[0], seed, standin.address);
    await awaitReady(first);
    const unreachableStore = `${toLoopbackAddress(5)}:1`;
    const second = startInstance("b", hosts[1], seed, unreachableStore);
    await awaitReady(second);
    const caller = await openRawCaller(PLATFORM_PORTS.callers, second.host);
    CLEAN_UPS.push(() => caller.socket.destroy());
    caller.socket.write(createRequest("/a/x"));
    assert.match(await caller.awaitText("served"), /^HTTP\/1\.1 200 OK/);
  });
});
