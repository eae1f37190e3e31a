import {
  AdmissionQueue,
  type AdmissionQueueOptions,
  BatchShare,
  type Priority,
} from "../admission/mod.ts";
import type { Clock, Random } from "../clock/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import { type CallSize, EngineModel } from "./engine_model.ts";
import { isEjected, pickHealthy } from "./engine_health.ts";
import { pickEngine, type PickWeights } from "./pick_engine.ts";

/** Dependencies of a {@linkcode ServicePool}. */
export interface ServicePoolParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the number of instances that dispatch to the same engines. */
  readonly countDispatchers: () => number;
  /** Returns the weights of the service; called at each choice. */
  readonly readWeights: () => PickWeights;
  /** Decisions that an experiment replaces. Default: none. */
  readonly policies?: PoolPolicies | undefined;
}

/** Decisions of a pool that an experiment can replace. */
export interface PoolPolicies {
  readonly pickEngine?: typeof pickEngine;
  /** Returns the number of busy sequences below which batch work may start. */
  readonly computeThreshold?: (slots: number) => number;
  /** Whether all interactive and batch calls start at once, without queueing. */
  readonly admitsAll?: boolean;
}

/** Fraction of an engine's slots by which interactive calls may exceed them. */
const INTERACTIVE_HEADROOM = 0.25;
/** Number of instances of a region that work on batches. */
export const BATCH_WORKERS = 3;

/** Backend servers of one service in this instance's region, and the queue of calls for them. */
export class ServicePool {
  readonly queue: AdmissionQueue;
  readonly #parts: ServicePoolParts;
  readonly #models = new Map<string, EngineModel>();
  #engines: readonly EngineModel[] = [];
  readonly #batchShare = new BatchShare();
  /** Number of calls that were admitted and are not yet dispatched. */
  readonly #undispatched = { batch: 0, other: 0 };

  /**
   * @param parts Clock, random source, weights and number of dispatching instances.
   * @param options Limits of the queue.
   */
  constructor(parts: ServicePoolParts, options: AdmissionQueueOptions = {}) {
    this.#parts = parts;
    this.queue = new AdmissionQueue({
      clock: parts.clock,
      hasCapacity: (priority) => this.hasCapacity(priority),
      recordStart: (priority) =>
        this.#undispatched[priority === "batch" ? "batch" : "other"]++,
    }, options);
  }

  /** State of all servers, as known to this instance. */
  get engines(): readonly EngineModel[] {
    return this.#engines;
  }

  /** Returns the state of one server. */
  readEngine(id: string): EngineModel | undefined {
    return this.#models.get(id);
  }

  /** Replaces the servers; the learned state of those that stay is retained. */
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
    this.#engines = [...this.#models.values()];
  }

  /** Picks a server for a call, other than the `excluded` ones. */
  pick(size: CallSize, excluded: ReadonlySet<string>): EngineModel | undefined {
    const pick = this.#parts.policies?.pickEngine ?? pickEngine;
    return pick({
      engines: this.#engines,
      size,
      weights: this.#parts.readWeights(),
      dispatcherCount: this.#parts.countDispatchers(),
      nowMs: this.#parts.clock.nowMs(),
      random: this.#parts.random,
      excluded,
    });
  }

  /**
   * Estimates the time to the first token in this region, in milliseconds; returns
   * `undefined` when no server may be used.
   */
  estimateFirstTokenMs(size: CallSize): number | undefined {
    const nowMs = this.#parts.clock.nowMs();
    const engine = this.pick(size, new Set());
    if (engine === undefined || isEjected(engine.health, nowMs)) {
      return undefined;
    }
    const queueMs = this.queue.estimateWaitMs("interactive", nowMs);
    return queueMs +
      engine.estimateFirstTokenMs(size, this.#parts.countDispatchers(), nowMs);
  }

  /**
   * Estimates the time from the dispatch of a call to its end on the fastest server,
   * in milliseconds.
   */
  estimateWorkMs(size: CallSize): number {
    const estimatesMs = this.#engines.map(({ decodeMs, prefillTokensPerMs }) =>
      decodeMs * size.outputTokens + size.promptTokens / prefillTokensPerMs
    );
    return estimatesMs.length === 0 ? 0 : Math.min(...estimatesMs);
  }

  /** Estimates the number of free sequences on all servers, minus the queued calls. */
  estimateFreeSlots(): number {
    const nowMs = this.#parts.clock.nowMs();
    const dispatcherCount = this.#parts.countDispatchers();
    const freeSlots = this.#listUsable(nowMs)
      .map((engine) =>
        Math.max(0, engine.estimateFreeSlots(dispatcherCount, nowMs))
      )
      .reduce((sum, slots) => sum + slots, 0);
    return Math.max(0, freeSlots - this.queue.length);
  }

  /** Returns whether a call of a priority class may start now. */
  hasCapacity(priority: Priority): boolean {
    const nowMs = this.#parts.clock.nowMs();
    const dispatcherCount = this.#parts.countDispatchers();
    const usable = this.#listUsable(nowMs);
    if (usable.length === 0 || this.#parts.policies?.admitsAll) return true;
    if (priority === "batch") return this.#hasBatchCapacity(usable, nowMs);
    // Engines schedule by priority: their batch work does not delay interactive calls.
    const freeSlots = usable.map((engine) =>
      engine.estimateFreeSlots(dispatcherCount, nowMs) +
      engine.ownBatchInFlight * dispatcherCount +
      engine.server.slots * INTERACTIVE_HEADROOM
    ).reduce((sum, slots) => sum + Math.max(0, slots), 0);
    return freeSlots - this.#undispatched.other >= 1;
  }

  /** Records that an admitted call has been dispatched or given up. */
  recordDispatched(size: CallSize): void {
    this.#undispatched[size.isBatch ? "batch" : "other"]--;
  }

  /** Records the time to the first token of an interactive call. */
  recordFirstToken(firstTokenMs: number): void {
    const targetMs = this.#parts.readWeights().firstTokenMs;
    this.#batchShare.record(firstTokenMs, targetMs, this.#parts.clock.nowMs());
  }

  #listUsable(nowMs: number): readonly EngineModel[] {
    return pickHealthy(
      this.#engines.filter(({ server }) => !server.isLeaving),
      nowMs,
    );
  }

  #hasBatchCapacity(usable: readonly EngineModel[], nowMs: number): boolean {
    const dispatcherCount = Math.max(1, this.#parts.countDispatchers());
    const slots = usable.reduce((sum, { server }) => sum + server.slots, 0);
    const busy = usable.reduce(
      (sum, engine) =>
        sum + engine.estimateSequenceCount(dispatcherCount, nowMs),
      0,
    );
    const ownBatch = usable.reduce(
      (sum, engine) => sum + engine.ownBatchInFlight,
      this.#undispatched.batch,
    );
    const computeThreshold = this.#parts.policies?.computeThreshold;
    const threshold = computeThreshold?.(slots) ??
      Math.floor(slots * this.#batchShare.share);
    // Reports are delayed: without a limit per instance, each one would fill the pool at once.
    const isBelowInstanceLimit = ownBatch <
      Math.ceil(threshold / Math.min(dispatcherCount, BATCH_WORKERS));
    return busy < threshold && isBelowInstanceLimit;
  }
}
