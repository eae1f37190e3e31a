import { join } from "node:path";
import { systemClock } from "../adapters/system_clock.ts";
import { type Random, waitFor } from "../clock/mod.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformOperator } from "../standin/platform_operator.ts";
import {
  PLATFORM_PORTS,
  PlatformProcess,
} from "../standin/platform_process.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import type { Arrival } from "./arrival.ts";
import { type AnswerFault, ArrivalServer } from "./arrival_server.ts";
import {
  type CalledAddress,
  ONCE_PREFIX,
  REPEATS_HOST,
} from "./repeat_caller.ts";

/** Constructor arguments of a {@linkcode RepeatFleet}. */
export interface RepeatFleetParts {
  /** Path of the built program of the instances. */
  readonly program: string;
  readonly regions: readonly string[];
  readonly instancesPerRegion: number;
  readonly serversPerRegion: number;
  readonly faults: ReadonlySet<AnswerFault>;
  readonly random: Random;
  readonly record: (arrival: Arrival) => void;
  /** Folder that exists, for the logs of the instances. */
  readonly logFolder: string;
}

/** Place of one server, which may be started anew with another id. */
export interface ServerPlace {
  readonly region: string;
  readonly service: string;
  server: ArrivalServer;
  port: number;
}

/** Plain service whose calls may run once. */
const APP_SERVICE = "app";
/** Service that gets addresses of servers that are gone. */
const OTHER_SERVICE = "other";
const SERVER_SLOTS = 16;
/** Time from SIGTERM to SIGKILL, in seconds. */
const GRACE_S = 8;
/** Host number of the first instance's loopback address. */
const FIRST_HOST = 10;
const ROUTE_TIMEOUT_MS = 3_000;
/** Maximum delay of the entry of a server that was started anew, in milliseconds. */
const MAX_ENTRY_DELAY_MS = 300;
/** Range of the time for which the entry of a server that is gone stays, in milliseconds. */
const MIN_STALE_MS = 500;
const MAX_STALE_MS = 2_500;
const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 60_000;

/** Instances as processes of their own, a store, and servers of a plain service that record arrivals. */
export class RepeatFleet {
  readonly places: ServerPlace[] = [];
  readonly instances: PlatformProcess[] = [];
  readonly #parts: RepeatFleetParts;
  readonly #store = new MemoryStore(systemClock);
  readonly #operator = new PlatformOperator(this.#store, systemClock);
  readonly #servers: ArrivalServer[] = [];
  #closeStore = () => {};
  #version = 0;

  /** @param parts Program, sizes, faults of the servers and recorder. */
  constructor(parts: RepeatFleetParts) {
    this.#parts = parts;
  }

  /** Starts servers, store and instances, and waits until all are ready. */
  async start(): Promise<void> {
    const { instancesPerRegion, regions, serversPerRegion } = this.#parts;
    for (const region of regions) {
      for (let count = 0; count < serversPerRegion; count++) {
        this.places.push(await this.#createPlace(region, APP_SERVICE));
      }
      await this.#createPlace(region, OTHER_SERVICE);
    }
    await this.configure();
    const store = await startStoreStandin(this.#store);
    this.#closeStore = () => store.close();
    const instanceRegions = regions.flatMap((region) =>
      Array.from({ length: instancesPerRegion }, () => region)
    );
    this.instances.push(
      ...instanceRegions.map((region, at) =>
        this.#createInstance(region, at, store.address)
      ),
    );
    this.instances.forEach((instance) => instance.start());
    await this.#awaitReady();
  }

  /** Returns where callers reach an instance. */
  toCalled({ host, name }: PlatformProcess): CalledAddress {
    return { name, host, port: PLATFORM_PORTS.callers };
  }

  /** Writes the next configuration, which routes calls as the one before. */
  async configure(): Promise<void> {
    this.#version++;
    const route = {
      host: REPEATS_HOST,
      kind: "unsafe" as const,
      timeoutMs: ROUTE_TIMEOUT_MS,
    };
    await this.#operator.configure(this.#version, [
      { ...route, name: "once", prefix: ONCE_PREFIX, service: APP_SERVICE },
      { ...route, name: "other", prefix: "/other/", service: OTHER_SERVICE },
    ]);
  }

  /** Starts a server anew at its address, with another id; both entries stand beside each other for a while. */
  async restartServer(place: ServerPlace): Promise<void> {
    const gone = place.server;
    await gone.crash();
    place.server = this.#createServer();
    await place.server.open(place.port);
    void this.#removeEntryLater(gone);
    await this.#wait(0, MAX_ENTRY_DELAY_MS);
    await this.#register(place);
  }

  /** Gives the address of a server to a server of another service, and starts it at a new address. */
  async moveServer(place: ServerPlace): Promise<void> {
    const gone = place.server;
    await gone.crash();
    const other = {
      ...place,
      service: OTHER_SERVICE,
      server: this.#createServer(),
    };
    await other.server.open(place.port);
    await this.#register(other);
    void this.#removeEntryLater(gone);
    place.server = this.#createServer();
    place.port = await place.server.open(0);
    await this.#register(place);
  }

  /** Ends all processes and closes all sockets. */
  async close(): Promise<void> {
    this.instances.forEach((instance) => {
      instance.signal("SIGCONT");
      instance.destroy();
    });
    await Promise.all(this.instances.map((each) => each.awaitExit()));
    this.#closeStore();
    this.#servers.forEach((server) => void server.crash());
  }

  #createInstance(
    region: string,
    at: number,
    storeAddress: string,
  ): PlatformProcess {
    const { logFolder, program, regions } = this.#parts;
    const name = `front-${region}-a-${at}`;
    return new PlatformProcess({
      program,
      name,
      host: toLoopbackAddress(FIRST_HOST + at),
      region,
      regions,
      seedHosts: [0, 1, 2].map((each) => toLoopbackAddress(FIRST_HOST + each)),
      storeAddress,
      graceS: GRACE_S,
      logPath: join(logFolder, `${name}.log`),
      hasCuttableLinks: true,
    });
  }

  async #createPlace(region: string, service: string): Promise<ServerPlace> {
    const server = this.#createServer();
    const place = { region, service, server, port: await server.open(0) };
    await this.#register(place);
    return place;
  }

  #createServer(): ArrivalServer {
    const { faults, random, record } = this.#parts;
    const id = `s-${this.#servers.length + 1}`;
    const server = new ArrivalServer({ id, faults, random, record });
    this.#servers.push(server);
    return server;
  }

  #register({ port, region, server, service }: ServerPlace): Promise<void> {
    return this.#operator.register({
      id: server.id,
      service,
      address: `127.0.0.1:${port}`,
      region,
      slots: SERVER_SLOTS,
      isDraining: false,
      startedMs: Math.floor(systemClock.nowMs()),
    });
  }

  async #removeEntryLater({ id }: ArrivalServer): Promise<void> {
    await this.#wait(MIN_STALE_MS, MAX_STALE_MS);
    await this.#operator.unregister(id);
  }

  #wait(minMs: number, maxMs: number): Promise<void> {
    const { random } = this.#parts;
    return waitFor(systemClock, minMs + (maxMs - minMs) * random.nextFloat());
  }

  async #awaitReady(): Promise<void> {
    const untilMs = systemClock.nowMs() + READY_TIMEOUT_MS;
    const isReady = async () => {
      const ready = await Promise.all(
        this.instances.map((one) => one.isReady()),
      );
      return ready.every((each) => each);
    };
    while (!await isReady()) {
      if (systemClock.nowMs() > untilMs) {
        throw new Error(`Instances are not ready after ${READY_TIMEOUT_MS} ms`);
      }
      await waitFor(systemClock, READY_POLL_MS);
    }
  }
}
