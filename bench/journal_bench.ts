import { createRandom, createToken, VirtualClock } from "../clock/mod.ts";
import {
  type InstanceId,
  toAttemptId,
  toIncarnation,
  toInstanceId,
  toRunKey,
  toTeamId,
} from "../ids/mod.ts";
import {
  KeyJournal,
  type RunJournal,
  ShardedJournal,
} from "../run_journal/mod.ts";
import { MemoryStore } from "../standin/mod.ts";
import { waitFor } from "../clock/mod.ts";
import { type BenchResult, computeQuantile, toCell } from "./bench_case.ts";

const DURATION_MS = 20_000;
const STORE_LATENCY_MS = 3;
/** One-way latency between instances of the same region. */
const LOCAL_LATENCY_MS = 1.5;
/** One-way latency between instances of different regions. */
const REMOTE_LATENCY_MS = 25;
/** Time that a run takes after the journal granted it. */
const RUN_MS = 40;

/** Kind of run journal, with its options. */
interface Variant {
  readonly name: string;
  /** Number of shards; with 0, each run has a key of its own in the store. */
  readonly shards: number;
  /** Time that a shard collects records for one write. */
  readonly gatherMs: number;
  /** Number of regions that the daemons are spread over: 1 or 3. */
  readonly regions: number;
  /** Whether each key names the region that its caller uses. Default: false. */
  readonly hasHome?: boolean;
}

/** Compares run journals: a key for each run, and group commit on shards. */
export async function runJournalBench(): Promise<BenchResult> {
  const variants: readonly Variant[] = [
    { name: "key per run", shards: 0, gatherMs: 0, regions: 3 },
    { name: "6 shards, 0 ms, near", shards: 6, gatherMs: 0, regions: 1 },
    { name: "6 shards, 4 ms, near", shards: 6, gatherMs: 4, regions: 1 },
    { name: "6 shards, 10 ms, near", shards: 6, gatherMs: 10, regions: 1 },
    { name: "2 shards, 4 ms, near", shards: 2, gatherMs: 4, regions: 1 },
    { name: "6 shards, 0 ms, 3 regions", shards: 6, gatherMs: 0, regions: 3 },
    {
      name: "6 shards, 0 ms, 3 regions, keys with home",
      shards: 6,
      gatherMs: 0,
      regions: 3,
      hasHome: true,
    },
    {
      name: "4 shards, 2 ms, 3 regions, keys with home",
      shards: 4,
      gatherMs: 2,
      regions: 3,
      hasHome: true,
    },
  ];
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const variant of variants) {
    for (
      const [rate, daemons] of [[60, 9], [120, 9], [240, 9], [120, 27]] as const
    ) {
      const run = await runVariant(variant, rate, daemons);
      rows.push([
        variant.name,
        String(rate),
        String(daemons),
        toCell(run.writesPerSecond),
        toCell(run.readsPerSecond),
        toCell(run.p50),
        toCell(run.p99),
        toCell(run.kilobytesPerSecond, 0),
        String(run.twice),
      ]);
      const key = `${
        variant.name.replaceAll(/[^a-z0-9]+/g, "_")
      }_${rate}_${daemons}`;
      figures[`${key}_writes`] = run.writesPerSecond;
      figures[`${key}_p50`] = run.p50;
      figures[`${key}_twice`] = run.twice;
    }
  }
  return {
    head: [
      "JOURNAL",
      "RUNS /S",
      "DAEMONS",
      "WRITES /S",
      "READS /S",
      "ADDED P50 MS",
      "P99",
      "KB /S",
      "RAN TWICE",
    ],
    rows,
    figures,
    notes: [
      `store ${STORE_LATENCY_MS} ms, peers ${LOCAL_LATENCY_MS} ms in a region and ${REMOTE_LATENCY_MS} ms between regions, one way; ` +
      "aim: 120 runs a second for under 150 writes, under 15 ms added at the median",
    ],
  };
}

async function runVariant(variant: Variant, rate: number, daemons: number) {
  const clock = new VirtualClock();
  const random = createRandom(17);
  const store = new MemoryStore(clock);
  store.faults.latencyMs = STORE_LATENCY_MS;
  const ids = Array.from(
    { length: daemons },
    (_, index) => toInstanceId(`i${index}`),
  );
  const journals = new Map<InstanceId, RunJournal>();
  ids.forEach((id) =>
    journals.set(
      id,
      createJournal(variant, id, { clock, store, ids, journals }),
    )
  );
  const addedMs: number[] = [];
  const granted = new Map<string, number>();
  const total = Math.floor((rate * DURATION_MS) / 1_000);
  Array.from({ length: total }).forEach((_, index) => {
    const id = ids[Math.floor(random.nextFloat() * ids.length)]!;
    const atMs = random.nextFloat() * DURATION_MS;
    const home = variant.hasHome
      ? `r${ids.indexOf(id) % variant.regions}~`
      : "";
    clock.schedule(atMs, () => void runKey(`${home}key-${index}`, id));
    // One caller in twenty sends its run a second time within 20 ms, to a daemon picked at random.
    if (index % 20 === 0) {
      const other = ids[Math.floor(random.nextFloat() * ids.length)]!;
      clock.schedule(
        atMs + random.nextFloat() * 20,
        () => void runKey(`${home}key-${index}`, other),
      );
    }
  });
  const runKey = async (name: string, id: InstanceId) => {
    const startMs = clock.nowMs();
    const key = toRunKey(toTeamId("team"), name);
    const attempt = toAttemptId(createToken(random));
    const journal = journals.get(id)!;
    const begun = await journal.begin({
      key,
      bodyHash: "hash",
      attempt,
      holder: toIncarnation(id),
      dueMs: startMs + 10_000,
    });
    addedMs.push(clock.nowMs() - startMs);
    if (begun.isErr() || begun.value.kind !== "granted") return;
    granted.set(name, (granted.get(name) ?? 0) + 1);
    await waitFor(clock, RUN_MS);
    const answer = {
      status: 200,
      contentType: "application/json",
      body: "x".repeat(60),
    };
    await journal.finish(key, attempt, { kind: "ran", answer });
  };
  await clock.advance(DURATION_MS + 2_000);
  const seconds = DURATION_MS / 1_000;
  return {
    writesPerSecond: store.counts.writes / seconds,
    readsPerSecond: store.counts.reads / seconds,
    kilobytesPerSecond: store.counts.bytesWritten / seconds / 1_000,
    p50: computeQuantile(addedMs, 0.5),
    p99: computeQuantile(addedMs, 0.99),
    twice: [...granted.values()].filter((count) => count > 1).length,
  };
}

function createJournal(
  variant: Variant,
  self: InstanceId,
  dependencies: {
    readonly clock: VirtualClock;
    readonly store: MemoryStore;
    readonly ids: readonly InstanceId[];
    readonly journals: ReadonlyMap<InstanceId, RunJournal>;
  },
): RunJournal {
  const { clock, store, ids, journals } = dependencies;
  const random = createRandom(ids.indexOf(self) + 100);
  const isDead = () => false;
  if (variant.shards === 0) {
    return new KeyJournal({ store, clock, random, isDead });
  }
  const readLatencyMs = (to: InstanceId) => {
    const isLocal =
      ids.indexOf(to) % variant.regions === ids.indexOf(self) % variant.regions;
    return isLocal ? LOCAL_LATENCY_MS : REMOTE_LATENCY_MS;
  };
  return new ShardedJournal({
    store,
    clock,
    random,
    self,
    listCandidates: (region) =>
      ids.filter((_, index) =>
        region === undefined || `r${index % variant.regions}` === region
      ),
    isDead,
    beginAt: async (to, run) => {
      await waitFor(clock, readLatencyMs(to));
      const result = await (journals.get(to) as ShardedJournal).beginLocally(
        run,
      );
      await waitFor(clock, readLatencyMs(to));
      return result;
    },
    finishAt: async (to, { key, attempt, end }) => {
      await waitFor(clock, readLatencyMs(to));
      void (journals.get(to) as ShardedJournal).finishLocally(
        key,
        attempt,
        end,
      );
      return true;
    },
  }, { shards: variant.shards, gatherMs: variant.gatherMs });
}
