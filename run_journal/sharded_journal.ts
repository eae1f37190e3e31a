import type { Result } from "neverthrow";
import type { Clock, Random } from "../clock/mod.ts";
import type { AttemptId, Incarnation, InstanceId, RunKey } from "../ids/mod.ts";
import { computeWeight, rankNames } from "../membership/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { Store } from "../store/mod.ts";
import type { RunJournal } from "./run_journal.ts";
import type { BeginOutcome, Run, RunEnd } from "./run_record.ts";
import { ShardWriter, type ShardWriterOptions } from "./shard_writer.ts";

/** What a peer answers to a begin; `undefined` when it could not be asked. */
export type RemoteBegin = Result<BeginOutcome, Failure> | undefined;

/** What a sharded journal is created from. */
export interface ShardedJournalParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly self: InstanceId;
  /** Instances that may coordinate shards, with the own one; only those of a region, if one is named. */
  readonly readLive: (region?: string) => readonly InstanceId[];
  readonly isGone: (holder: Incarnation) => boolean;
  /** Asks the coordinator of a shard. */
  readonly beginAt: (to: InstanceId, run: Run) => Promise<RemoteBegin>;
  /** Tells the coordinator of a shard; `false` when it could not be told. */
  readonly finishAt: (
    to: InstanceId,
    end: {
      readonly key: RunKey;
      readonly attempt: AttemptId;
      readonly end: RunEnd;
    },
  ) => Promise<boolean>;
}

/** Optional parts of a sharded journal. */
export interface ShardedJournalOptions extends ShardWriterOptions {
  /** Shards of each group; the same at all instances for ever. Default: 4. */
  readonly shards?: number;
}

const DEFAULT_SHARDS = 4;
/** Groups of shards that home regions fall into; their number bounds what callers can create. */
const GROUPS = 64;
const PREFIX = "/havenspur/journal/shard/";

/**
 * The run journal in shards. Live instances agree by rendezvous on who
 * coordinates a shard, which gathers writes; where they do not agree, or the
 * coordinator is out of reach, an instance writes itself, and the store's
 * compare-and-swap decides.
 */
export class ShardedJournal implements RunJournal {
  readonly #parts: ShardedJournalParts;
  readonly #options: ShardedJournalOptions;
  readonly #writers = new Map<string, ShardWriter>();

  /**
   * @param parts Store, clock, own name and ways to the peers.
   * @param options Number of shards, sizes and pauses.
   */
  constructor(parts: ShardedJournalParts, options: ShardedJournalOptions = {}) {
    this.#parts = parts;
    this.#options = options;
  }

  /** Records held in memory by this instance. */
  get recordCount(): number {
    return [...this.#writers.values()].reduce(
      (sum, { recordCount }) => sum + recordCount,
      0,
    );
  }

  async begin(run: Run): Promise<Result<BeginOutcome, Failure>> {
    const coordinator = this.#pickCoordinator(run.key);
    if (coordinator === this.#parts.self) return await this.beginHere(run);
    const remote = await this.#parts.beginAt(coordinator, run);
    return remote ?? await this.beginHere(run);
  }

  async finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    const coordinator = this.#pickCoordinator(key);
    const isHere = coordinator === this.#parts.self;
    if (
      !isHere && await this.#parts.finishAt(coordinator, { key, attempt, end })
    ) return;
    await this.#readWriter(key).finish(key, attempt, end);
  }

  /** Begins a run as the coordinator of its shard, or in its place. */
  beginHere(run: Run): Promise<Result<BeginOutcome, Failure>> {
    return this.#readWriter(run.key).begin(run);
  }

  /** Records an end as the coordinator of its shard, or in its place. */
  finishHere(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    return this.#readWriter(key).finish(key, attempt, end);
  }

  /** Where a key names its home region, an instance of that region coordinates it. */
  #pickCoordinator(key: RunKey): InstanceId {
    const home = readHomeRegion(key);
    const near = home === undefined ? [] : this.#parts.readLive(home);
    const candidates = near.length > 0 ? near : this.#parts.readLive();
    return rankNames(`journal ${this.#toShard(key)}`, candidates)[0] ??
      this.#parts.self;
  }

  #readWriter(key: RunKey): ShardWriter {
    const shard = this.#toShard(key);
    const known = this.#writers.get(shard);
    if (known !== undefined) return known;
    const { store, clock, random, isGone } = this.#parts;
    const prefix = `${PREFIX}${shard}/`;
    const writer = new ShardWriter(
      { store, clock, random, prefix, isGone },
      this.#options,
    );
    this.#writers.set(shard, writer);
    return writer;
  }

  /** From the key alone, so that it is the same everywhere and always. */
  #toShard(key: RunKey): string {
    const home = readHomeRegion(key);
    const group = home === undefined
      ? 0
      : 1 + computeWeight("group", home) % GROUPS;
    const shard = computeWeight("shard", key) %
      (this.#options.shards ?? DEFAULT_SHARDS);
    return `${group}-${shard}`;
  }
}

/**
 * Returns the region that a key names as its home, in front of a tilde:
 * `recife-a~1234`. It says who coordinates, not who may run it.
 */
export function readHomeRegion(key: RunKey): string | undefined {
  return /^[^/]+\/([a-z0-9.-]{1,64})~/.exec(key)?.[1];
}
