import type { Result } from "neverthrow";
import type { Clock, Random } from "../clock/mod.ts";
import type { AttemptId, Incarnation, InstanceId, RunKey } from "../ids/mod.ts";
import { computeWeight, rankNames } from "../membership/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { Store } from "../store/mod.ts";
import type { RunJournal } from "./run_journal.ts";
import type { BeginOutcome, Run, RunEnd } from "./run_record.ts";
import { ShardWriter, type ShardWriterOptions } from "./shard_writer.ts";

/** A coordinator's answer to a begin; `undefined` if it could not be reached. */
export type RemoteBeginResult = Result<BeginOutcome, Failure> | undefined;

/** What a {@linkcode ShardedJournal} is created from. */
export interface ShardedJournalParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  /** Id of this instance. */
  readonly self: InstanceId;
  /**
   * Lists the instances that may coordinate shards, including this one. If a
   * region is given, only those of the region.
   */
  readonly listCandidates: (region?: string) => readonly InstanceId[];
  /** Returns whether a holder is known to be dead. */
  readonly isDead: (holder: Incarnation) => boolean;
  /** Asks the coordinator of a shard to begin a run. */
  readonly beginAt: (to: InstanceId, run: Run) => Promise<RemoteBeginResult>;
  /** Reports an end to the coordinator of a shard; `false` if it could not be reached. */
  readonly finishAt: (
    to: InstanceId,
    end: {
      readonly key: RunKey;
      readonly attempt: AttemptId;
      readonly end: RunEnd;
    },
  ) => Promise<boolean>;
}

/** Options of a {@linkcode ShardedJournal}. */
export interface ShardedJournalOptions extends ShardWriterOptions {
  /**
   * Number of shards of each group. It must be the same at all instances and never
   * change. Default: 4.
   */
  readonly shards?: number;
}

const DEFAULT_SHARDS = 4;
/**
 * Number of groups of shards that home regions are hashed into. Callers choose the
 * home regions of their keys, so a fixed number bounds the shards they can create.
 */
const SHARD_GROUPS = 64;
const SHARD_KEY_PREFIX = "/havenspur/journal/shard/";

/**
 * A run journal in shards. Rendezvous hashing over the live instances gives each
 * shard a coordinator, which batches the writes of the shard. Where instances
 * disagree on the coordinator, or it cannot be reached, an instance writes to the
 * shard itself, and the store's compare-and-swap decides.
 */
export class ShardedJournal implements RunJournal {
  readonly #parts: ShardedJournalParts;
  readonly #options: ShardedJournalOptions;
  readonly #writers = new Map<string, ShardWriter>();

  /**
   * @param parts Store, clock, id of this instance and calls to its peers.
   * @param options Number of shards, sizes and delays.
   */
  constructor(parts: ShardedJournalParts, options: ShardedJournalOptions = {}) {
    this.#parts = parts;
    this.#options = options;
  }

  /** Number of records that this instance has in memory. */
  get recordCount(): number {
    return [...this.#writers.values()].reduce(
      (sum, { recordCount }) => sum + recordCount,
      0,
    );
  }

  async begin(run: Run): Promise<Result<BeginOutcome, Failure>> {
    const coordinator = this.#pickCoordinator(run.key);
    if (coordinator === this.#parts.self) return await this.beginLocally(run);
    const remote = await this.#parts.beginAt(coordinator, run);
    return remote ?? await this.beginLocally(run);
  }

  async finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    const coordinator = this.#pickCoordinator(key);
    const isCoordinator = coordinator === this.#parts.self;
    if (
      !isCoordinator &&
      await this.#parts.finishAt(coordinator, { key, attempt, end })
    ) return;
    await this.#ensureWriter(key).finish(key, attempt, end);
  }

  /** Begins a run at this instance, as the coordinator of its shard or in the coordinator's place. */
  beginLocally(run: Run): Promise<Result<BeginOutcome, Failure>> {
    return this.#ensureWriter(run.key).begin(run);
  }

  /** Records an end at this instance, as the coordinator of its shard or in the coordinator's place. */
  finishLocally(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    return this.#ensureWriter(key).finish(key, attempt, end);
  }

  /** If a key names a home region that has live instances, one of them coordinates its shard. */
  #pickCoordinator(key: RunKey): InstanceId {
    const home = readHomeRegion(key);
    const homeInstances = home === undefined
      ? []
      : this.#parts.listCandidates(home);
    const candidates = homeInstances.length > 0
      ? homeInstances
      : this.#parts.listCandidates();
    return rankNames(`journal ${this.#toShardName(key)}`, candidates)[0] ??
      this.#parts.self;
  }

  #ensureWriter(key: RunKey): ShardWriter {
    const shard = this.#toShardName(key);
    const existing = this.#writers.get(shard);
    if (existing !== undefined) return existing;
    const { store, clock, random, isDead } = this.#parts;
    const prefix = `${SHARD_KEY_PREFIX}${shard}/`;
    const writer = new ShardWriter(
      { store, clock, random, prefix, isDead },
      this.#options,
    );
    this.#writers.set(shard, writer);
    return writer;
  }

  /** Depends on the key alone, so that a key is in the same shard at all instances and times. */
  #toShardName(key: RunKey): string {
    const home = readHomeRegion(key);
    const group = home === undefined
      ? 0
      : 1 + computeWeight("group", home) % SHARD_GROUPS;
    const shard = computeWeight("shard", key) %
      (this.#options.shards ?? DEFAULT_SHARDS);
    return `${group}-${shard}`;
  }
}

/**
 * Returns the home region that a key names in front of a tilde, such as
 * `recife-a` in `recife-a~1234`. The home region determines which instance
 * coordinates the run, not which instances may run it.
 */
export function readHomeRegion(key: RunKey): string | undefined {
  return /^[^/]+\/([a-z0-9.-]{1,64})~/.exec(key)?.[1];
}
