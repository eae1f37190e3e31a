import { type Clock, waitFor } from "../clock/mod.ts";
import type { MemoryStore } from "./memory_store.ts";

/** The registration of a backend server. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly region: string;
  /** Version of its software. Default: `v1`. */
  readonly version?: string;
  /** Number of calls that it works on at a time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Start time, in milliseconds since the epoch. */
  readonly startedMs: number;
}

/** A route that an operator declares. */
export interface OperatorRoute {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: "safe" | "unsafe" | "streaming";
  readonly service: string;
  /** Services that share its calls, in place of the one above. Default: none. */
  readonly weightedServices?: readonly WeightedService[];
  readonly timeoutMs: number;
  /** Whether a stream of it may be resumed. Default: it may. */
  readonly isResumable?: boolean;
  /** Regions that may serve it. Default: all. */
  readonly homeRegions?: readonly string[];
}

/** A service that gets a share of a route's calls. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Limits on callers' connections that an operator declares. */
export interface OperatorLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A team of callers that an operator declares. */
export interface OperatorTeam {
  readonly name: string;
  readonly keys: readonly string[];
}

/** The model engines of a service that an operator declares. */
export interface OperatorEngine {
  readonly slots: number;
  readonly cacheTokens: number;
}

/** An operator's order to move a service's calls to servers of another version. */
export interface OperatorRollout {
  readonly service: string;
  readonly destination: string;
  /** Time within which it is to end, in seconds. */
  readonly durationS: number;
}

/** Status of an order, as the system writes it. */
export interface OperatorRolloutStatus {
  readonly state: "running" | "completed" | "rolled_back";
  readonly destination: string;
}

/** Delay before a failed write is retried, in milliseconds. */
const RETRY_DELAY_MS = 100;
const REQUEST_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Writes the entries of operators and backend servers to the store. */
export class PlatformOperator {
  readonly #store: MemoryStore;
  readonly #clock: Clock;
  #sequence = 0;
  /** Last value written to each key; `undefined`: the key was removed. */
  readonly #written = new Map<string, string | undefined>();

  /**
   * @param store Stand-in for the platform's store.
   * @param clock Source of time.
   */
  constructor(store: MemoryStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /**
   * Writes a configuration.
   *
   * @param version Version number, higher than the one before.
   * @param routes All routes.
   * @param teams All teams; `undefined`: callers are not identified.
   * @param engines Engines of those services that have model engines, by service. Default: none.
   * @param limits Limits that differ from the usual ones. Default: none.
   */
  async configure(
    version: number,
    routes: readonly OperatorRoute[],
    teams?: readonly OperatorTeam[],
    engines: Readonly<Record<string, OperatorEngine>> = {},
    limits: Partial<OperatorLimits> = {},
  ): Promise<void> {
    const services = [
      ...new Set(
        routes.flatMap(({ service, weightedServices = [] }) => [
          service,
          ...weightedServices.map((weighted) => weighted.service),
        ]),
      ),
    ];
    await this.#put("op/config", {
      version,
      routes: routes.map(({ isResumable = true, ...route }) => ({
        ...route,
        targetLatencyMs: 1_000,
        maxAttempts: route.kind === "unsafe" || !isResumable ? 1 : 2,
        resumable: route.kind === "streaming" && isResumable,
      })),
      services: services.map((name) => {
        const engine = engines[name];
        return {
          name,
          maxConnections: 200,
          ...(engine === undefined ? {} : {
            engine: { slots: engine.slots, kvCacheTokens: engine.cacheTokens },
          }),
        };
      }),
      limits: { ...REQUEST_LIMITS, ...limits },
      tenants: teams?.map(({ keys, name }) => ({ name, apiKeys: keys })),
    });
  }

  /** Starts or ends the evacuation of a region's failure domain. */
  async setEvacuated(region: string, isEvacuated: boolean): Promise<void> {
    const key = `op/evacuate/${region}-a`;
    await this.#put(key, isEvacuated ? {} : undefined);
  }

  /** Orders that a service's calls move to servers of another version. */
  async orderRollout(order: OperatorRollout): Promise<void> {
    await this.#put(`op/rollout/${order.service}`, order);
  }

  /** Overwrites the order of a service with a value that is not a valid order. */
  async overwriteRolloutWithInvalid(service: string): Promise<void> {
    await this.#put(`op/rollout/${service}`, "no order");
  }

  /** Removes the order of a service. */
  async withdrawRollout(service: string): Promise<void> {
    await this.#put(`op/rollout/${service}`, undefined);
  }

  /** Returns the status of a service's order; `undefined`: none is written, or the store is down. */
  async readRolloutStatus(
    service: string,
  ): Promise<OperatorRolloutStatus | undefined> {
    const order = await this.#store.read(`op/rollout/${service}`);
    const status = await this.#store.read(`status/rollout/${service}`);
    const entry = status.unwrapOr(undefined);
    // A status that is older than the order is of the order before.
    const orderRevision = order.unwrapOr(undefined)?.revision ?? 0;
    if (entry === undefined || entry.revision < orderRevision) return undefined;
    return JSON.parse(entry.value) as OperatorRolloutStatus;
  }

  /** Writes the entry of a server. */
  async register(server: ServerEntry): Promise<void> {
    await this.#put(`servers/${server.id}`, {
      service: server.service,
      address: server.address,
      zone: `${server.region}-a`,
      version: server.version ?? "v1",
      slots: server.slots,
      state: server.isDraining ? "draining" : "ready",
      warmupRemainingMs: 0,
      sequence: ++this.#sequence,
      born: server.startedMs,
    });
  }

  /** Overwrites the entry of a server with a value that is not a valid entry. */
  async overwriteWithInvalid(id: string): Promise<void> {
    await this.#put(`servers/${id}`, "no entry");
  }

  /** Removes the entry of a server. */
  async unregister(id: string): Promise<void> {
    await this.#put(`servers/${id}`, undefined);
  }

  /** Writes all last values again, so that a store restored from an older copy regains those that it lost. */
  async rewriteAll(): Promise<void> {
    for (const key of [...this.#written.keys()]) {
      // The value is read on each attempt, since another write may have changed it.
      while (!await this.#tryPut(key, this.#written.get(key))) {
        await waitFor(this.#clock, RETRY_DELAY_MS);
      }
    }
  }

  /** Retries the write until the store confirms it, since the store may be unavailable. */
  async #put(key: string, value: unknown): Promise<void> {
    const text = value === undefined ? undefined : JSON.stringify(value);
    this.#written.set(key, text);
    while (!await this.#tryPut(key, text)) {
      await waitFor(this.#clock, RETRY_DELAY_MS);
    }
  }

  async #tryPut(key: string, value: string | undefined): Promise<boolean> {
    const current = await this.#store.read(key);
    if (current.isErr()) return false;
    if (current.value?.value === value) return true;
    const expectedRevision = current.value?.revision ?? 0;
    const swapped = await this.#store.swap({ key, value, expectedRevision });
    return swapped.isOk() && swapped.value.kind === "written";
  }
}
