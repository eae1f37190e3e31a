import {
  type AdmissionOptions,
  AdmissionQueue,
  BatchShare,
  type Priority,
} from "../admission/mod.ts";
import type { Clock, Random } from "../clock/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import { type CallSize, EngineModel } from "./engine_model.ts";
import { isEjected, pickHealthy } from "./engine_health.ts";
import { pickEngine, type PickWeights } from "./pick_engine.ts";

/** What a pool is created from. */
export interface ServicePoolParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Daemons that send work to the same engines. */
  readonly readDeciders: () => number;
  /** Weights of the service, read at each choice. */
  readonly readWeights: () => PickWeights;
  /** Decisions of an experiment. Default: those of the product. */
  readonly policies?: PoolPolicies | undefined;
}

/** Decisions of a pool that an experiment can replace. */
export interface PoolPolicies {
  readonly pickEngine?: typeof pickEngine;
  /** Returns the busy sequences up to which batch work starts. */
  readonly computeThreshold?: (servers: number) => number;
  readonly admitsAll?: boolean;
}

const INTERACTIVE_HEADROOM = 0.25;
/** Daemons of a region that work on batches. */
export const BATCH_WORKERS = 3;

/** The backend servers of one service in the own region, and their queue. */
export class ServicePool {
  readonly queue: AdmissionQueue;
  readonly #parts: ServicePoolParts;
  readonly #models = new Map<string, EngineModel>();
  #list: readonly EngineModel[] = [];
  /** Calls that were let in and are not yet dispatched. */
  readonly #batchShare = new BatchShare();
  readonly #starting = { batch: 0, other: 0 };

  /**
   * @param parts Clock, random source and weights.
   * @param options Bounds of the queue.
   */
  constructor(parts: ServicePoolParts, options: AdmissionOptions = {}) {
    this.#parts = parts;
    this.queue = new AdmissionQueue({
      clock: parts.clock,
      hasRoom: (priority) => this.hasRoom(priority),
      recordStart: (priority) =>
        this.#starting[priority === "batch" ? "batch" : "other"]++,
    }, options);
  }

  /** The servers, as this daemon knows them. */
  get engines(): readonly EngineModel[] {
    return this.#list;
  }

  /** Returns what is known of one server. */
  readEngine(id: string): EngineModel | undefined {
    return this.#models.get(id);
  }

  /** Takes the servers that are in force; what was learned of those that stay is kept. */
  applyServers(servers: readonly BackendServer[]): void {
    const ids = new Set<string>(servers.map(({ id }) => id));
    [...this.#models.keys()].filter((id) => !ids.has(id)).forEach((id) =>
      this.#models.delete(id)
    );
    servers.forEach((server) => {
      const known = this.#models.get(server.id);
      if (known === undefined) {
        this.#models.set(server.id, new EngineModel(server));
      } else known.server = server;
    });
    this.#list = [...this.#models.values()];
  }

  /** Picks a server for a call. */
  pick(size: CallSize, excluded: ReadonlySet<string>): EngineModel | undefined {
    const pick = this.#parts.policies?.pickEngine ?? pickEngine;
    return pick({
      engines: this.#list,
      size,
      weights: this.#parts.readWeights(),
      deciders: this.#parts.readDeciders(),
      nowMs: this.#parts.clock.nowMs(),
      random: this.#parts.random,
      excluded,
    });
  }

  /** Estimates the time to the first token here; `undefined` when no server may be used. */
  estimateFirstTokenMs(size: CallSize): number | undefined {
    const nowMs = this.#parts.clock.nowMs();
    const engine = this.pick(size, new Set());
    if (engine === undefined || isEjected(engine.health, nowMs)) {
      return undefined;
    }
    const queueMs = this.queue.estimateWaitMs("interactive", nowMs);
    return queueMs +
      engine.estimateFirstTokenMs(size, this.#parts.readDeciders(), nowMs);
  }

  /** Estimates how long a call takes here from its start to its end, in milliseconds. */
  estimateWorkMs(size: CallSize): number {
    const works = this.#list.map(({ decodeMs, prefillTokensPerMs }) =>
      decodeMs * size.outputTokens + size.promptTokens / prefillTokensPerMs
    );
    return works.length === 0 ? 0 : Math.min(...works);
  }

  /** Estimates the free sequences over all servers. */
  estimateSpare(): number {
    const nowMs = this.#parts.clock.nowMs();
    const deciders = this.#parts.readDeciders();
    const room = this.#usable(nowMs)
      .map((engine) => Math.max(0, engine.estimateRoom(deciders, nowMs)))
      .reduce((sum, each) => sum + each, 0);
    return Math.max(0, room - this.queue.length);
  }

  /** Whether a request of a class may start now. */
  hasRoom(priority: Priority): boolean {
    const nowMs = this.#parts.clock.nowMs();
    const deciders = this.#parts.readDeciders();
    const usable = this.#usable(nowMs);
    if (usable.length === 0 || this.#parts.policies?.admitsAll) return true;
    if (priority === "batch") return this.#hasBatchRoom(usable, nowMs);
    // Engines serve by priority: batch work that waits there does not stand before others.
    const room = usable.map((engine) =>
      engine.estimateRoom(deciders, nowMs) + engine.ownBatch * deciders +
      engine.server.slots * INTERACTIVE_HEADROOM
    ).reduce((sum, each) => sum + Math.max(0, each), 0);
    return room - this.#starting.other >= 1;
  }

  /** Records that a call that was let in has been dispatched, or given up. */
  recordDispatched(size: CallSize): void {
    this.#starting[size.isBatch ? "batch" : "other"]--;
  }

  /** Records the time to the first token of an interactive call. */
  recordFirstToken(firstTokenMs: number): void {
    const aimMs = this.#parts.readWeights().firstTokenMs;
    this.#batchShare.record(firstTokenMs, aimMs, this.#parts.clock.nowMs());
  }

  #usable(nowMs: number): readonly EngineModel[] {
    return pickHealthy(
      this.#list.filter(({ server }) => !server.isLeaving),
      nowMs,
    );
  }

  #hasBatchRoom(usable: readonly EngineModel[], nowMs: number): boolean {
    const deciders = Math.max(1, this.#parts.readDeciders());
    const servers = usable.reduce((sum, { server }) => sum + server.slots, 0);
    const busy = usable.reduce(
      (sum, engine) => sum + engine.estimateInSystem(deciders, nowMs),
      0,
    );
    const own = usable.reduce(
      (sum, engine) => sum + engine.ownBatch,
      this.#starting.batch,
    );
    const compute = this.#parts.policies?.computeThreshold;
    const threshold = compute?.(servers) ??
      Math.floor(servers * this.#batchShare.share);
    // Reports lag: without a bound on its own part each worker would fill the pool at once.
    const isOwnPartFree =
      own < Math.ceil(threshold / Math.min(deciders, BATCH_WORKERS));
    return busy < threshold && isOwnPartFree;
  }
}
