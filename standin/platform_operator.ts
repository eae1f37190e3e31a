import { type Clock, waitFor } from "../clock/mod.ts";
import type { MemoryStore } from "./memory_store.ts";

/** A backend server as it registers itself. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly region: string;
  readonly isDraining: boolean;
  /** When it started, in milliseconds since the epoch. */
  readonly startedMs: number;
}

/** A route that an operator declares. */
export interface OperatorRoute {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: "safe" | "unsafe" | "streaming";
  readonly service: string;
  readonly timeoutMs: number;
  /** Regions that may serve it. Default: all. */
  readonly homeRegions?: readonly string[];
}

/** A team of callers that an operator declares. */
export interface OperatorTeam {
  readonly name: string;
  readonly keys: readonly string[];
}

/** Pause after a write that the store did not take, in milliseconds. */
const RETRY_PAUSE_MS = 100;
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Writes to the store what operators and backend servers write there. */
export class PlatformOperator {
  readonly #store: MemoryStore;
  readonly #clock: Clock;
  #sequence = 0;
  /** What was written last under each key; `undefined`: it was removed. */
  readonly #written = new Map<string, string | undefined>();

  /**
   * @param store Stands in for the platform's.
   * @param clock Source of time.
   */
  constructor(store: MemoryStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /**
   * Puts a configuration in the store.
   *
   * @param version Higher than the one before.
   * @param routes All routes.
   * @param teams All teams; `undefined`: nobody is identified.
   */
  async configure(
    version: number,
    routes: readonly OperatorRoute[],
    teams?: readonly OperatorTeam[],
  ): Promise<void> {
    const services = [...new Set(routes.map(({ service }) => service))];
    await this.#put("op/config", {
      version,
      routes: routes.map((route) => ({
        ...route,
        targetLatencyMs: 1_000,
        maxAttempts: route.kind === "unsafe" ? 1 : 2,
        resumable: route.kind === "streaming",
      })),
      services: services.map((name) => ({ name, maxConnections: 200 })),
      limits: LIMITS,
      tenants: teams?.map(({ keys, name }) => ({ name, apiKeys: keys })),
    });
  }

  /** Begins or ends the evacuation of a region's failure domain. */
  async setEvacuated(region: string, isEvacuated: boolean): Promise<void> {
    const key = `op/evacuate/${region}-a`;
    await this.#put(key, isEvacuated ? {} : undefined);
  }

  /** Writes a server's entry. */
  async register(server: ServerEntry): Promise<void> {
    await this.#put(`servers/${server.id}`, {
      service: server.service,
      address: server.address,
      zone: `${server.region}-a`,
      version: "v1",
      slots: 16,
      state: server.isDraining ? "draining" : "ready",
      warmupRemainingMs: 0,
      sequence: ++this.#sequence,
      born: server.startedMs,
    });
  }

  /** Writes bytes over a server's entry that are none. */
  async overwrite(id: string): Promise<void> {
    await this.#put(`servers/${id}`, "no entry");
  }

  /** Removes a server's entry. */
  async unregister(id: string): Promise<void> {
    await this.#put(`servers/${id}`, undefined);
  }

  /** Writes all once more that a store has lost as it came back from a copy. */
  async writeAgain(): Promise<void> {
    for (const key of [...this.#written.keys()]) {
      // Another write of the key may have come meanwhile.
      while (!await this.#tryPut(key, this.#written.get(key))) {
        await waitFor(this.#clock, RETRY_PAUSE_MS);
      }
    }
  }

  /** Writes until the store says that it took the write: it may be away. */
  async #put(key: string, value: unknown): Promise<void> {
    const text = value === undefined ? undefined : JSON.stringify(value);
    this.#written.set(key, text);
    while (!await this.#tryPut(key, text)) {
      await waitFor(this.#clock, RETRY_PAUSE_MS);
    }
  }

  async #tryPut(key: string, value: string | undefined): Promise<boolean> {
    const known = await this.#store.read(key);
    if (known.isErr()) return false;
    if (known.value?.value === value) return true;
    const expectedRevision = known.value?.revision ?? 0;
    const swapped = await this.#store.swap({ key, value, expectedRevision });
    return swapped.isOk() && swapped.value.kind === "written";
  }
}
