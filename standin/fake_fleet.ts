import { createHash } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Store, StoreResult } from "../store/mod.ts";
import {
  createRandom,
  type Random,
  VirtualClock,
  waitFor,
} from "../clock/mod.ts";
import { Gateway, type Policies } from "../daemon/mod.ts";
import type { GatewayRequest, Reply } from "../filters/mod.ts";
import { type InstanceId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import { FakeBackend } from "./fake_backend.ts";
import { FakeNetwork } from "./fake_network.ts";
import { MemoryStore } from "./memory_store.ts";

/** Options of {@linkcode FakeFleet}. */
export interface FakeFleetOptions {
  /** Names of the regions. Default: `r1`, `r2` and `r3`. */
  readonly regions?: readonly string[];
  /** Number of daemons in each region. Default: 3. */
  readonly daemonsPerRegion?: number;
  /** Seed of all random numbers. Default: 1. */
  readonly seed?: number;
  /** Policies that replace those of the product. Default: none. */
  readonly policies?: Policies;
  /** Latency of each store call, in milliseconds. Default: 3. */
  readonly storeLatencyMs?: number;
  /** Number of journal shards. Default: 4. */
  readonly journalShards?: number;
  /** Time that the journal waits to write several records together, in milliseconds. Default: 2. */
  readonly journalGatherMs?: number;
  /** Store calls per second allowed to all daemons together. Default: 300. */
  readonly storeCallsPerSecond?: number;
  /** Regions where the store keeps its data. Default: none. */
  readonly storeRegions?: readonly string[];
  /** Loads of model weights per minute allowed in all regions together. Default: 600. */
  readonly weightLoadsPerMinute?: number;
}

/** A daemon of a fleet. */
export interface FakeDaemon {
  readonly record: InstanceRecord;
  readonly gateway: Gateway;
  /** Aborted when the daemon is killed. */
  readonly ended: AbortController;
}

/** Token that authenticates operators in a {@linkcode FakeFleet}. */
export const FLEET_OPERATOR_TOKEN = "operator-token";
const PEER_TOKEN = "peer-token-of-the-fleet";
/** Time until a call to an unreachable store fails, in milliseconds. */
const UNREACHABLE_TIMEOUT_MS = 1_000;

/** A fleet of real daemons that run on a virtual clock with a fake network, store and backend. */
export class FakeFleet {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly backend: FakeBackend;
  readonly store: MemoryStore;
  readonly daemons: FakeDaemon[] = [];
  /** Daemons that reach no engine, while they reach everything else. */
  readonly cutFromEngines = new Set<InstanceId>();
  /** Instances that the platform lists. */
  listedInstances: InstanceRecord[] = [];
  readonly #options: FakeFleetOptions;
  #nextSeed: number;
  readonly #watchesByRegion = new Map<string, Set<AbortController>>();

  /** @param options Regions, sizes and policies. */
  constructor(options: FakeFleetOptions = {}) {
    this.#options = options;
    this.#nextSeed = (options.seed ?? 1) * 1_000;
    this.random = createRandom(this.#nextSeed++);
    this.network = new FakeNetwork(this.clock, createRandom(this.#nextSeed++));
    this.backend = new FakeBackend(this.clock, this.random.nextFloat);
    this.store = new MemoryStore(this.clock);
    this.store.faults.latencyMs = options.storeLatencyMs ?? 3;
    const regions = options.regions ?? ["r1", "r2", "r3"];
    const records = regions.flatMap((region) =>
      Array.from(
        { length: options.daemonsPerRegion ?? 3 },
        (_, index) => createRecord(region, index),
      )
    );
    this.listedInstances = records;
    records.forEach((record) => this.start(record));
  }

  /** Starts a daemon; a daemon with the same id is replaced by a new incarnation. */
  start(record: InstanceRecord): FakeDaemon {
    const options = this.#options;
    const gateway = new Gateway({
      clock: this.clock,
      random: createRandom(this.#nextSeed++),
      store: this.#createStoreView(record),
      instances: { read: () => Promise.resolve(ok(this.listedInstances)) },
      directory: { publish: () => Promise.resolve(ok(undefined)) },
      backend: this.backend.createClient(
        record.region,
        () => this.cutFromEngines.has(record.id),
      ),
      peers: this.network.createTransport(record),
      logger: createSilentLogger(),
      metrics: NO_METRICS,
      self: record,
      options: {
        operatorTokenHash: hashToken(FLEET_OPERATOR_TOKEN),
        peerToken: PEER_TOKEN,
        storeCallsPerSecond: options.storeCallsPerSecond ?? 300,
        storeRegions: options.storeRegions ?? [],
        weightLoadsPerMinute: options.weightLoadsPerMinute ?? 600,
        journalShards: options.journalShards ?? 4,
        journalRetentionMs: 3_600_000,
        journalGatherMs: options.journalGatherMs ?? 2,
      },
      ...(options.policies === undefined ? {} : { policies: options.policies }),
    });
    const ended = new AbortController();
    const daemon = { record, gateway, ended };
    const index = this.daemons.findIndex((known) =>
      known.record.id === record.id
    );
    if (index >= 0) this.daemons[index] = daemon;
    else this.daemons.push(daemon);
    this.network.connect(record, gateway);
    this.backend.gateways.set(record.callerUrl, {
      region: record.region,
      handle: (request) => gateway.handle(request),
    });
    gateway.start(ended.signal);
    return daemon;
  }

  /** Cuts the connections of a region to all other regions and to the store. */
  cutOff(region: string): void {
    this.network.cutRegions.add(region);
    this.backend.cutRegions = new Set(this.network.cutRegions);
    this.#watchesByRegion.get(region)?.forEach((watch) => watch.abort());
  }

  /** Restores the connections of a region. */
  rejoin(region: string): void {
    this.network.cutRegions.delete(region);
    this.backend.cutRegions = new Set(this.network.cutRegions);
  }

  /** Kills a daemon without a graceful shutdown. */
  kill(daemon: FakeDaemon): void {
    daemon.ended.abort();
    this.network.disconnect(daemon.record.id);
    this.backend.gateways.delete(daemon.record.callerUrl);
  }

  /** Kills all daemons. */
  stop(): void {
    this.daemons.forEach((daemon) => this.kill(daemon));
  }

  /** Applies resources through one daemon and advances the clock by 3 s, in which they reach all daemons. */
  async apply(
    changes: readonly {
      readonly kind: string;
      readonly name: string;
      readonly spec: unknown;
    }[],
    daemon: FakeDaemon = this.daemons[0]!,
  ): Promise<Reply> {
    const reply = this.call(daemon, {
      token: FLEET_OPERATOR_TOKEN,
      path: "/api/v1/changes",
      body: { changes },
    });
    await this.clock.advance(3_000);
    return await reply;
  }

  /** Returns the store as a daemon reaches it: unreachable while the daemon's region is cut off. */
  #createStoreView({ region }: InstanceRecord): Store {
    const { store, network, clock } = this;
    const guard = async <T>(run: () => StoreResult<T>): StoreResult<T> => {
      if (!network.cutRegions.has(region)) return await run();
      await waitFor(clock, UNREACHABLE_TIMEOUT_MS);
      return err({
        kind: "unavailable",
        message: "Cannot reach the store: the region is cut off",
      });
    };
    return {
      read: (key) => guard(() => store.read(key)),
      readPrefix: (prefix) => guard(() => store.readPrefix(prefix)),
      swap: (swap) => guard(() => store.swap(swap)),
      grantLease: (ttlMs) => guard(() => store.grantLease(ttlMs)),
      renewLease: (leaseId) => guard(() => store.renewLease(leaseId)),
      revokeLease: (leaseId) => guard(() => store.revokeLease(leaseId)),
      watch: (prefix, signal) => {
        const watchController = new AbortController();
        if (network.cutRegions.has(region)) watchController.abort();
        const known = this.#watchesByRegion.get(region) ?? new Set();
        this.#watchesByRegion.set(region, known.add(watchController));
        return store.watch(
          prefix,
          AbortSignal.any([signal, watchController.signal]),
        );
      },
    };
  }

  /** Sends a request to a daemon. */
  call(
    daemon: FakeDaemon,
    request: {
      readonly token: string;
      readonly path: string;
      readonly method?: string;
      readonly body?: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      readonly signal?: AbortSignal;
    },
  ): Promise<Reply> {
    const body = request.body === undefined ? "" : JSON.stringify(request.body);
    return daemon.gateway.handle(createRequest({
      method: request.method ?? "POST",
      path: request.path,
      headers: { authorization: `Bearer ${request.token}`, ...request.headers },
      body,
      signal: request.signal ?? new AbortController().signal,
    }));
  }
}

/** Returns the SHA-256 of a token in hexadecimal digits, as teams declare it. */
export function hashToken(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

function createRequest(
  request: {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly signal: AbortSignal;
  },
): GatewayRequest {
  return {
    method: request.method,
    path: request.path,
    query: "",
    headers: request.headers,
    readBody: () => Promise.resolve(ok(Buffer.from(request.body))),
    signal: request.signal,
  };
}

function createRecord(region: string, index: number): InstanceRecord {
  const id = `${region}-i${index + 1}`;
  return {
    id: toInstanceId(id),
    region: toRegionId(region),
    failureDomain: `${region}-fd${index % 3}`,
    peerAddress: `${id}:1`,
    callerUrl: `http://${id}`,
    isLeaving: false,
  };
}
