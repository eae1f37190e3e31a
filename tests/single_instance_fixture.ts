import assert from "node:assert/strict";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformProcess } from "../standin/platform_process.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";

/** Interval at which the readiness of the instance is polled, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** One instance of the platform's program, beside a stand-in for an empty store. */
export interface SingleInstance {
  readonly instance: PlatformProcess;
  /** Starts the program if it does not run, and resolves when its ports answer. */
  ensureStarted(): Promise<void>;
  /** Fails if the program has ended, or does not answer. */
  assertRuns(): Promise<void>;
  /** Ends the program and the stand-in. */
  destroy(): void;
}

/**
 * Returns an instance that is not started yet.
 *
 * @param program Path of the built program.
 */
export async function createSingleInstance(
  program: string,
): Promise<SingleInstance> {
  const standin = await startStoreStandin(new MemoryStore(systemClock));
  const host = toLoopbackAddress(1);
  const instance = new PlatformProcess({
    program,
    name: "a",
    host,
    region: "north",
    regions: ["north"],
    seedHosts: [host],
    storeAddress: standin.address,
    graceS: 8,
  });
  return {
    instance,
    ensureStarted: async () => {
      if (instance.pid !== undefined) return;
      instance.start();
      while (await instance.readReadiness() === 0) {
        assert.notEqual(instance.pid, undefined, "the instance has ended");
        await waitFor(systemClock, POLL_INTERVAL_MS);
      }
    },
    assertRuns: async () => {
      assert.notEqual(instance.pid, undefined, "the instance has ended");
      assert.notEqual(await instance.readReadiness(), 0);
    },
    destroy: () => {
      instance.destroy();
      standin.close();
    },
  };
}
