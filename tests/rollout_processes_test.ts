// Guards against a program whose settings, store and control port are not connected to the rollouts.
import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { dirname } from "node:path";
import { after, describe, it } from "node:test";
import { request } from "undici";
import { systemClock } from "../adapters/system_clock.ts";
import { buildProgram } from "../standin/build_program.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformOperator } from "../standin/platform_operator.ts";
import {
  PLATFORM_PORTS,
  PlatformProcess,
} from "../standin/platform_process.ts";
import { runRollout } from "../standin/platform_rollout.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";

const PROGRAM = buildProgram();
const SERVICE = "app";
const ROUTE = {
  name: "all",
  host: "app.example",
  prefix: "/",
  kind: "safe",
  service: SERVICE,
  timeoutMs: 2_000,
} as const;
const NO_SERVERS = {
  startNew: () => Promise.resolve(),
  stopOld: () => Promise.resolve(),
  drainNew: () => Promise.resolve(),
};
after(() => rmSync(dirname(PROGRAM), { recursive: true, force: true }));

async function startPlatform() {
  const store = new MemoryStore(systemClock);
  const operator = new PlatformOperator(store, systemClock);
  const standin = await startStoreStandin(store);
  await operator.configure(1, [ROUTE]);
  await operator.register({
    id: "s1",
    service: SERVICE,
    address: "127.0.0.1:9",
    region: "north",
    slots: 4,
    isDraining: false,
    startedMs: 1,
  });
  const hosts = [31, 32].map(toLoopbackAddress);
  const instances = hosts.map((host, at) =>
    new PlatformProcess({
      program: PROGRAM,
      name: `i-${at}`,
      host,
      region: "north",
      regions: ["north"],
      seedHosts: hosts.slice(0, 1),
      storeAddress: standin.address,
      graceS: 8,
      extraSettings: [
        "contracts=drain,rollout",
        "bounds.exposureShare=0.1",
        "bounds.exposureSlack=50",
      ],
    })
  );
  instances.forEach((instance) => instance.start());
  const order = (destination: string, durationS: number) =>
    runRollout({ service: SERVICE, destination, durationS }, {
      operator,
      clock: systemClock,
      servers: NO_SERVERS,
      signal: AbortSignal.timeout(20_000),
    });
  const end = () => {
    instances.forEach((instance) => instance.destroy());
    standin.close();
  };
  return { end, hosts, instances, order, store };
}

async function listRollouts(host: string): Promise<
  readonly {
    readonly service: string;
    readonly record: { readonly order: { readonly reason: string } };
  }[]
> {
  const { body } = await request(
    `http://${host}:${PLATFORM_PORTS.control}/rpc`,
    {
      method: "POST",
      body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: "rollouts.list" }),
    },
  );
  return (await body.json() as { readonly result: never }).result;
}

describe("instances as processes", () => {
  it("roll back an order without servers at its deadline, complete one whose version is active, and list both", async () => {
    const { end, hosts, instances, order, store } = await startPlatform();
    try {
      const recordKey = `havenspur/rollouts/${SERVICE}`;
      while ((await store.read(recordKey))._unsafeUnwrap() === undefined) {
        assert.ok(instances.every(({ pid }) => pid !== undefined));
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
      const withoutServers = await order("v2", 2);
      assert.equal(withoutServers.state, "rolled_back");
      assert.ok(withoutServers.afterMs >= 2_000);
      for (const host of hosts) {
        const [listed] = await listRollouts(host);
        assert.equal(listed?.service, SERVICE);
        assert.equal(listed?.record.order.reason, "no-servers");
      }
      assert.equal((await order("v1", 10)).state, "completed");
    } finally {
      end();
    }
  });
});
