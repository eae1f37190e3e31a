import { setMaxListeners } from "node:events";
import { join } from "node:path";
import {
  type OperatorLimits,
  PlatformOperator,
} from "../standin/platform_operator.ts";
import {
  PLATFORM_PORTS,
  PlatformProcess,
  type ProgramEnd,
} from "../standin/platform_process.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import {
  type RecordedBadAnswer,
  type RecordedRefusal,
  type RecordedRun,
  RecordingServer,
} from "../standin/recording_server.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { type Clock, waitFor } from "../clock/mod.ts";
import {
  BOUND_HOST,
  type CalledInstance,
  ROTATING_TEAM,
  SOAK_HOST,
  STEADY_TEAM,
  toRotatingKey,
} from "./caller.ts";
import type { PromiseName } from "./check_promises.ts";
import { ROLLOUT_BOUNDS } from "./check_rollouts.ts";
import type { Departure, InterruptedRun, RevokedKey } from "./observation.ts";
import { LinkProxy } from "./link_proxy.ts";

/** Constructor arguments of {@linkcode SoakFleet}. */
export interface SoakFleetParts {
  /** Path of the built program. */
  readonly program: string;
  readonly regions: readonly string[];
  readonly instancesPerRegion: number;
  readonly serversPerRegion: number;
  /** Folder for the logs of the instances. Default: none are kept. */
  readonly logFolder?: string | undefined;
  /** Whether the servers of the work service are model engines. */
  readonly hasEngines: boolean;
  readonly clock: Clock;
  readonly recordRun: (run: RecordedRun) => void;
  readonly recordRefusal: (refusal: RecordedRefusal) => void;
  readonly recordRejection: (rejection: RecordedRefusal) => void;
  readonly recordBadAnswer: (answer: RecordedBadAnswer) => void;
}

/** An instance, with its own link to the store. */
export interface SoakInstance {
  readonly process: PlatformProcess;
  readonly region: string;
  readonly storeLink: LinkProxy;
}

/** An instance that a run cannot go on without, and why it is gone. */
export interface LostInstance {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Software of a server, as far as rollouts are concerned. */
export interface ServerSoftware {
  readonly version: string;
  /** Share of the calls that it answers with a failure. */
  readonly badShare: number;
}

/** Slot for one backend server, whose server is replaced or restarted after faults. */
export interface ServerSlot {
  readonly region: string;
  readonly service: string;
  /** Version of the software of its servers. */
  version: ServerSoftware;
  server: RecordingServer;
  link: LinkProxy;
  address: string;
  startedMs: number;
}

/** How a configuration differs from the usual one. */
export interface ConfigurationChange {
  /** Timeout of all routes, in milliseconds. Default: the usual one. */
  readonly timeoutMs?: number;
  /** Limits on callers' connections. Default: the usual ones. */
  readonly limits?: OperatorLimits;
  /** Whether the other service gets all calls of the work service, or a share. Default: none. */
  readonly otherService?: "all" | "share";
  /** Number of additional routes. Default: 0. */
  readonly additionalRoutes?: number;
}

/** Service of all routes but the one that is named after the configuration version. */
export const WORK_SERVICE = "work";
/** Service to which the routes of the work service lead for a moment. */
const OTHER_SERVICE = "other";
/** Shares of the two services where both get calls. */
const WEIGHTED_SERVICES = [
  { service: WORK_SERVICE, weight: 7 },
  { service: OTHER_SERVICE, weight: 3 },
];
/** Engines of the work service where it has them, with the slots of its servers. */
const ENGINE = { slots: 16, cacheTokens: 400_000 };
/** Slots of servers that are nearly full: the callers of a region need most of them. */
const FULL_SLOTS = 3;
/** Software that servers run without a rollout. */
const FIRST_SOFTWARE: ServerSoftware = { version: "v1", badShare: 0 };
/** Settings that enable rollouts, with the bounds that the checks use. */
const ROLLOUT_SETTINGS = [
  "contracts=drain,rollout",
  `bounds.exposureShare=${ROLLOUT_BOUNDS.exposureShare}`,
  `bounds.exposureSlack=${ROLLOUT_BOUNDS.exposureSlack}`,
  `bounds.rollbackMs=${ROLLOUT_BOUNDS.rollbackMs}`,
  `bounds.contactMs=${ROLLOUT_BOUNDS.contactMs}`,
];
/** Host number of the first instance's loopback address. */
const FIRST_HOST = 10;
/** Time from SIGTERM to SIGKILL on the users' platform, in seconds. */
const GRACE_S = 8;
/** Timeout of all routes, in milliseconds. */
export const TIMEOUT_MS = 4_000;
/** Time after which a server that crashed because of a call is replaced, in milliseconds. */
const REPLACEMENT_DELAY_MS = 2_000;
/** Interval at which the readiness of the instances is polled, in milliseconds. */
const READY_POLL_MS = 100;
/** Time within which all instances have to be ready, in milliseconds; a loaded machine is slow. */
const READY_TIMEOUT_MS = 90_000;

/** Instances as real processes, with stand-ins for the store and the backend servers. */
export class SoakFleet {
  readonly store: MemoryStore;
  readonly operator: PlatformOperator;
  readonly instances: SoakInstance[] = [];
  readonly slots: ServerSlot[] = [];
  /** Slots of the version that is being rolled out; the other faults leave them alone. */
  readonly newSlots: ServerSlot[] = [];
  /** All servers of the work service that were started. */
  readonly #workServers: RecordingServer[] = [];
  /** When servers crashed because of a call. */
  readonly serverCrashesMs: number[] = [];
  /** Keys that a later configuration has revoked. */
  readonly revokedKeys: RevokedKey[] = [];
  readonly #parts: SoakFleetParts;
  readonly #closers: (() => void)[] = [];
  readonly #closed = new AbortController();
  /** Resolves with the first instance that has ended and was not stopped; never, if none does. */
  readonly lostInstance: Promise<LostInstance>;
  #reportLost: (lost: LostInstance) => void = () => {};
  #serverCount = 0;
  #version = 0;
  /** Resolves when the last configuration is written: they are written one after the other. */
  #configured = Promise.resolve();

  /** @param parts Program, regions, sizes, clock and recorders. */
  constructor(parts: SoakFleetParts) {
    this.#parts = parts;
    // Each wait of a fault listens to it.
    setMaxListeners(0, this.#closed.signal);
    this.lostInstance = new Promise((resolve) => {
      this.#reportLost = resolve;
    });
    this.store = new MemoryStore(parts.clock);
    this.operator = new PlatformOperator(this.store, parts.clock);
  }

  /** Links to all servers that were started. */
  readonly links: LinkProxy[] = [];

  /** Version of the last configuration. */
  get version(): number {
    return this.#version;
  }

  /** Starts servers, store and instances. */
  async start(): Promise<void> {
    const { instancesPerRegion, regions, serversPerRegion } = this.#parts;
    const serverRegions = regions.flatMap((region) =>
      Array.from({ length: serversPerRegion }, () => region)
    );
    for (const region of serverRegions) {
      this.slots.push(await this.#createSlot(region, WORK_SERVICE));
    }
    for (const region of regions) {
      await this.#createSlot(region, OTHER_SERVICE);
    }
    await this.configure();
    const standin = await startStoreStandin(this.store);
    this.#closers.push(() => standin.close());
    const storePort = Number(standin.address.split(":")[1]);
    const instanceRegions = regions.flatMap((region) =>
      Array.from({ length: instancesPerRegion }, () => region)
    );
    const hosts = instanceRegions.map((_, at) =>
      toLoopbackAddress(FIRST_HOST + at)
    );
    for (const [at, region] of instanceRegions.entries()) {
      const storeLink = new LinkProxy(storePort);
      const { logFolder, program } = this.#parts;
      const name = `front-${region}-a-${at}`;
      const process = new PlatformProcess({
        program,
        name,
        host: hosts[at]!,
        region,
        regions,
        seedHosts: hosts.slice(0, 3),
        storeAddress: await storeLink.open(),
        graceS: GRACE_S,
        extraSettings: ROLLOUT_SETTINGS,
        logPath: logFolder && join(logFolder, `${name}.log`),
        hasCuttableLinks: true,
        onUnexpectedEnd: (end) =>
          this.#reportLost({
            promise: "instances run until they are stopped",
            detail: formatEnd(name, end),
          }),
      });
      this.instances.push({ process, region, storeLink });
      process.start();
    }
  }

  /**
   * Waits until every instance reports that it is ready for calls.
   *
   * @returns An instance that is not ready in time, or `undefined` if all are ready.
   */
  async awaitReady(): Promise<LostInstance | undefined> {
    const { clock } = this.#parts;
    const untilMs = clock.nowMs() + READY_TIMEOUT_MS;
    let waiting = await this.#listUnready();
    while (waiting.length > 0 && !this.#closed.signal.aborted) {
      if (clock.nowMs() > untilMs) {
        return {
          promise: "instances become ready",
          detail: `${waiting.join()} not ready after ${READY_TIMEOUT_MS} ms`,
        };
      }
      await waitFor(clock, READY_POLL_MS, this.#closed.signal);
      waiting = await this.#listUnready();
    }
    return undefined;
  }

  async #listUnready(): Promise<readonly string[]> {
    const unready = await Promise.all(
      this.instances.map(async ({ process }) =>
        await process.isReady() ? [] : [process.name]
      ),
    );
    return unready.flat();
  }

  /** Home regions of the bound calls: all regions but the last. */
  get homeRegions(): readonly string[] {
    return this.#parts.regions.slice(0, -1);
  }

  /** Instances of the home regions. */
  get homeInstances(): readonly SoakInstance[] {
    return this.instances.filter(({ region }) =>
      this.homeRegions.includes(region)
    );
  }

  /**
   * Returns the address, start number and configuration version that callers of an instance
   * need.
   */
  toCalledInstance(
    { process: { host, name, starts } }: SoakInstance,
  ): CalledInstance {
    const { version } = this;
    return { name, host, port: PLATFORM_PORTS.callers, starts, version };
  }

  /**
   * Writes the next configuration version, which routes the calls of kind "version" to servers
   * named after it.
   *
   * @param change How it differs from the usual one. Default: not at all.
   */
  configure(change: ConfigurationChange = {}): Promise<void> {
    this.#configured = this.#configured.then(() =>
      this.#writeConfiguration(change)
    );
    return this.#configured;
  }

  async #writeConfiguration(
    {
      additionalRoutes = 0,
      limits,
      otherService,
      timeoutMs = TIMEOUT_MS,
    }: ConfigurationChange,
  ): Promise<void> {
    this.#version++;
    const service = `version-${this.#version}`;
    for (const region of this.#parts.regions) {
      await this.#createSlot(region, service);
    }
    const route = (
      kind: "safe" | "unsafe" | "streaming",
      name: string,
      target = otherService === "all" ? OTHER_SERVICE : WORK_SERVICE,
    ) => ({
      name,
      kind,
      host: SOAK_HOST,
      prefix: `/${name}/`,
      service: target,
      ...(otherService === "share" && target === WORK_SERVICE
        ? { weightedServices: WEIGHTED_SERVICES }
        : {}),
      timeoutMs,
    });
    await this.operator.configure(
      this.#version,
      [
        route("safe", "idempotent"),
        route("unsafe", "non-idempotent"),
        route("streaming", "stream"),
        { ...route("streaming", "single-stream"), isResumable: false },
        route("safe", "version", service),
        ...Array.from(
          { length: additionalRoutes },
          (_, at) => route("safe", `additional-${at}`),
        ),
        { ...route("safe", "free"), host: BOUND_HOST },
        {
          ...route("safe", "bound"),
          host: BOUND_HOST,
          homeRegions: this.homeRegions,
        },
      ],
      [
        { name: STEADY_TEAM.name, keys: [STEADY_TEAM.key] },
        { name: ROTATING_TEAM, keys: [toRotatingKey(this.#version)] },
      ],
      this.#parts.hasEngines ? { [WORK_SERVICE]: ENGINE } : {},
      limits,
    );
    this.revokedKeys.push({
      key: toRotatingKey(this.#version - 1),
      atMs: this.#parts.clock.nowMs(),
    });
  }

  /** Gives the servers of the work service few slots, and has them reject calls beyond these. */
  async fillServers(): Promise<void> {
    await Promise.all(this.slots.map((slot) => {
      slot.server.slots = FULL_SLOTS;
      slot.server.rejectsBeyondSlots = true;
      return this.register(slot);
    }));
  }

  /** Gives the servers the usual slots again. */
  async emptyServers(): Promise<void> {
    await Promise.all(this.slots.map((slot) => {
      slot.server.slots = ENGINE.slots;
      slot.server.rejectsBeyondSlots = false;
      return this.register(slot);
    }));
  }

  /** When servers of the work service crashed or were stopped. */
  listCrashes(): readonly Departure[] {
    return this.#workServers.flatMap(({ crashedMs, id }) =>
      crashedMs === undefined
        ? []
        : [{ id, atMs: crashedMs, untilMs: crashedMs }]
    );
  }

  /** Starts a new server in a slot, with a new id and address. */
  async replaceServer(slot: ServerSlot): Promise<void> {
    const { region, service, version } = slot;
    const next = await this.#createSlot(region, service, { version });
    await this.#assign(slot, next);
  }

  /** Starts a server of a new version beside that of each slot. */
  async startVersion(version: ServerSoftware): Promise<void> {
    for (const { region, service } of this.slots) {
      this.newSlots.push(await this.#createSlot(region, service, { version }));
    }
  }

  /**
   * Stops all servers of the work service that do not run a version, and puts the new servers
   * into the slots.
   *
   * @returns Calls that the stopped servers had not answered.
   */
  async completeVersion(version: string): Promise<readonly InterruptedRun[]> {
    const old = this.#workServers.filter((server) =>
      server.version !== version
    );
    const atMs = this.#parts.clock.nowMs();
    const interrupted = old.flatMap((server) =>
      server.runningCalls.map((callId) => ({ callId, server: server.id, atMs }))
    );
    old.forEach((server) => server.crash());
    const next = this.newSlots.splice(0);
    this.slots.forEach((slot, at) => Object.assign(slot, next[at]));
    await Promise.all(old.map(({ id }) => this.operator.unregister(id)));
    return interrupted;
  }

  /** Lets the servers of the new version drain; they are not replaced any more. */
  async drainVersion(): Promise<void> {
    const drained = this.newSlots.splice(0);
    await Promise.all(drained.map((slot) => this.register(slot, true)));
  }

  /** Restarts the server of a slot, with the same id and another address. */
  async restartServer(slot: ServerSlot): Promise<void> {
    slot.server.crash();
    const { region, server: { id }, service, version } = slot;
    const next = await this.#createSlot(region, service, { id, version });
    await this.#assign(slot, next);
  }

  /** Puts a server into a slot, unless a rollout has given the slot another version meanwhile. */
  async #assign(slot: ServerSlot, next: ServerSlot): Promise<void> {
    if (slot.version.version === next.version.version) {
      Object.assign(slot, next);
      return;
    }
    next.server.crash();
    await this.operator.unregister(next.server.id);
  }

  /** Registers a slot's server in the store, and whether it drains. */
  register(slot: ServerSlot, isDraining = false): Promise<void> {
    const { address, region, startedMs, server } = slot;
    const { id, service, slots } = server;
    const entry = {
      id,
      service,
      address,
      region,
      version: server.version,
      slots,
      isDraining,
      startedMs,
    };
    return this.operator.register(entry);
  }

  /** Replaces a server that crashed because of a call. */
  async #replaceCrashed(id: string): Promise<void> {
    const { signal } = this.#closed;
    this.serverCrashesMs.push(this.#parts.clock.nowMs());
    await waitFor(this.#parts.clock, REPLACEMENT_DELAY_MS, signal);
    const slot = [...this.slots, ...this.newSlots].find(({ server }) =>
      server.id === id
    );
    // Another fault may have replaced the server in the meantime.
    if (signal.aborted || slot === undefined) return;
    await this.operator.unregister(id);
    await this.replaceServer(slot);
  }

  /**
   * Ends all processes and closes all sockets. Resolves when the processes have ended: until
   * then they hold the ports that the instances of the next run open.
   */
  async close(): Promise<void> {
    this.#closed.abort("closed");
    this.instances.forEach(({ process, storeLink }) => {
      process.signal("SIGCONT");
      process.destroy();
      storeLink.close();
    });
    this.#closers.forEach((close) => close());
    await Promise.all(
      this.instances.map(({ process }) => process.awaitExit()),
    );
  }

  /** Aborts when the fleet is closed. */
  get closed(): AbortSignal {
    return this.#closed.signal;
  }

  async #createSlot(
    region: string,
    service: string,
    { id = `s-${++this.#serverCount}`, version = FIRST_SOFTWARE }: {
      readonly id?: string;
      readonly version?: ServerSoftware;
    } = {},
  ): Promise<ServerSlot> {
    const {
      clock,
      recordBadAnswer,
      recordRefusal,
      recordRejection,
      recordRun,
    } = this.#parts;
    const server = new RecordingServer({
      id,
      service,
      ...version,
      recordBadAnswer,
      nowMs: () => clock.nowMs(),
      record: recordRun,
      recordRefusal,
      recordRejection,
      onCrashed: () => void this.#replaceCrashed(id),
    });
    const link = new LinkProxy(await server.open());
    const address = await link.open();
    this.links.push(link);
    const startedMs = Math.floor(clock.nowMs());
    if (service === WORK_SERVICE) this.#workServers.push(server);
    const slot = { region, service, version, server, link, address, startedMs };
    this.#closers.push(() => link.close(), () => server.crash());
    await this.register(slot);
    return slot;
  }
}

function formatEnd(
  instance: string,
  { code, ranMs, signal }: ProgramEnd,
): string {
  const cause = signal === null ? `exit code ${code}` : `signal ${signal}`;
  return `${instance} ended with ${cause}, ${ranMs} ms after its start`;
}
