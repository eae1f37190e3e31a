import { createRandom, VirtualClock } from "../clock/mod.ts";
import { toAttemptId, toBackendId, toRegionId } from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import {
  EngineModel,
  pickEngine,
  pickObservers,
  pickSubset,
} from "../routing/mod.ts";
import { EngineCore, NEW_ENGINE } from "../standin/mod.ts";
import { type BenchResult, computeQuantile, toCell } from "./bench_case.ts";

const ENGINE_COUNT = 400;
const CALLS_PER_SECOND = 1_500;
const DURATION_MS = 12_000;
const WARMUP_MS = 3_000;
const CALL_SIZE = {
  promptTokens: 300,
  outputTokens: 40,
  prefix: undefined,
  prefixTokens: 0,
};
const WEIGHTS = { latency: 1, cost: 0, firstTokenMs: 770 };

type Policy =
  | "omniscient"
  | "all, least reported"
  | "all, sampled"
  | "subset of 64, sampled"
  | "subset of 64, own reports";

/**
 * Measures queues and latency when many daemons dispatch to one large pool, and
 * the time that a decision takes.
 */
export async function runSubsetBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const dispatcherCount of [30, 50]) {
    const policies: readonly Policy[] = [
      "omniscient",
      "all, least reported",
      "all, sampled",
      "subset of 64, sampled",
      "subset of 64, own reports",
    ];
    for (const policy of policies) {
      const run = runPolicy(dispatcherCount, policy);
      rows.push([
        String(dispatcherCount),
        policy,
        String(run.maxQueue),
        toCell(run.p95, 0),
        toCell(run.p99, 0),
        toCell(run.decisionMicros, 2),
      ]);
      const key = `${policy.replaceAll(/[^a-z0-9]+/g, "_")}_${dispatcherCount}`;
      figures[`${key}_max_queue`] = run.maxQueue;
      figures[`${key}_p95`] = run.p95;
      figures[`${key}_decision_us`] = run.decisionMicros;
    }
  }
  const times = [8, 123, 400].map((count) => measureDecisionMicros(count));
  [8, 123, 400].forEach((count, index) => {
    rows.push([
      "1",
      `decision at ${count}`,
      "-",
      "-",
      "-",
      toCell(times[index]!, 2),
    ]);
    figures[`decision_us_${count}`] = times[index]!;
  });
  return await Promise.resolve({
    head: [
      "DISPATCHERS",
      "POLICY",
      "MAX IN ONE ENGINE",
      "TTFT P95 MS",
      "P99",
      "DECISION US",
    ],
    rows,
    figures,
    notes: [
      `${ENGINE_COUNT} engines, ${CALLS_PER_SECOND} calls per second, each engine polled by two daemons per second; ` +
      "decisions alone, on a virtual clock",
    ],
  });
}

function runPolicy(dispatcherCount: number, policy: Policy) {
  const clock = new VirtualClock();
  const random = createRandom(31);
  const servers = Array.from(
    { length: ENGINE_COUNT },
    (_, index) => createServer(index),
  );
  const cores = new Map(
    servers.map(({ id }) => [id, new EngineCore(clock, NEW_ENGINE)]),
  );
  const names = Array.from(
    { length: dispatcherCount },
    (_, index) => `d${index}`,
  );
  const dispatchers = names.map((self) => {
    const ids = policy.startsWith("subset")
      ? pickSubset(servers.map(({ id }) => id), {
        daemons: names,
        self,
        size: 64,
      })
      : servers.map(({ id }) => id);
    const used = new Set<string>(ids);
    const models = servers.filter(({ id }) => used.has(id)).map((server) =>
      new EngineModel(server)
    );
    return {
      self,
      models,
      dispatchersPerEngine: Math.max(
        1,
        (dispatcherCount * models.length) / ENGINE_COUNT,
      ),
    };
  });
  const observers = new Map(
    servers.map(({ id }) => [id, pickObservers(id, names, 2)]),
  );
  // Two observers poll each engine; the other daemons get its load with the next digest.
  for (let atMs = 0; atMs < DURATION_MS; atMs += 1_000) {
    clock.schedule(
      atMs + 50,
      () =>
        dispatchers.forEach(({ models, self }) =>
          models.forEach((model) => {
            const isObserver = observers.get(model.server.id)!.includes(self);
            const isOwnOnly = policy === "subset of 64, own reports";
            if (isOwnOnly && !isObserver) return;
            // A daemon observes 16 engines and polls two of them per second.
            if (
              isOwnOnly &&
              (Number(model.server.id.slice(1)) + atMs / 1_000) % 8 !== 0
            ) return;
            const load = cores.get(model.server.id)!.readLoad();
            clock.schedule(isObserver ? 2 : 600, () =>
              model.applyReport({
                ...load,
                lagMs: load.lagMs + (isObserver ? 2 : 600),
              }, clock.nowMs()));
          })
        ),
    );
  }
  const firstTokens: number[] = [];
  let maxQueue = 0;
  let decisionMs = 0;
  let decisions = 0;
  let sequence = 0;
  const arrive = () => {
    const dispatcher =
      dispatchers[Math.floor(random.nextFloat() * dispatchers.length)]!;
    const startMs = clock.nowMs();
    const before = performance.now();
    const engine = chooseEngine(policy, dispatcher, {
      cores,
      nowMs: startMs,
      random,
    });
    decisionMs += performance.now() - before;
    decisions++;
    const attempt = toAttemptId(String(sequence++));
    engine.recordDispatch(attempt, CALL_SIZE, startMs);
    const core = cores.get(engine.server.id)!;
    clock.schedule(1, () => {
      // Each answer carries a load report as well.
      engine.applyReport(core.readLoad(), clock.nowMs());
      core.submit({
        id: attempt,
        promptTokens: CALL_SIZE.promptTokens,
        prefix: undefined,
        prefixTokens: 0,
        outputTokens: CALL_SIZE.outputTokens,
        rank: 0,
        onToken: (index) => {
          if (index > 0) return;
          engine.recordFirstToken(attempt, clock.nowMs());
          if (startMs > 1_000_000 + WARMUP_MS) {
            firstTokens.push(clock.nowMs() - startMs);
          }
        },
        onEnd: () =>
          engine.recordEnd(
            attempt,
            { event: { kind: "succeeded" } },
            clock.nowMs(),
          ),
      });
      if (startMs > 1_000_000 + WARMUP_MS) {
        maxQueue = Math.max(maxQueue, core.sequenceCount);
      }
    });
    clock.schedule(
      (-Math.log(1 - random.nextFloat()) / CALLS_PER_SECOND) * 1_000,
      arrive,
    );
  };
  clock.schedule(100, arrive);
  clock.advanceSync(DURATION_MS);
  return {
    maxQueue,
    p95: computeQuantile(firstTokens, 0.95),
    p99: computeQuantile(firstTokens, 0.99),
    decisionMicros: (decisionMs / decisions) * 1_000,
  };
}

function chooseEngine(
  policy: Policy,
  dispatcher: {
    readonly models: readonly EngineModel[];
    readonly dispatchersPerEngine: number;
  },
  context: {
    readonly cores: ReadonlyMap<string, EngineCore>;
    readonly nowMs: number;
    readonly random: ReturnType<typeof createRandom>;
  },
): EngineModel {
  const { models, dispatchersPerEngine } = dispatcher;
  const { cores, nowMs, random } = context;
  switch (policy) {
    case "omniscient":
      return pickMinimum(
        models,
        (model) => cores.get(model.server.id)!.sequenceCount,
      );
    case "all, least reported":
      return pickMinimum(
        models,
        (model) => model.estimateSequenceCount(0, nowMs),
      );
    case "all, sampled":
    case "subset of 64, sampled":
    case "subset of 64, own reports":
      return pickEngine({
        engines: models,
        size: CALL_SIZE,
        weights: WEIGHTS,
        dispatcherCount: dispatchersPerEngine,
        nowMs,
        random,
      })!;
  }
}

function pickMinimum(
  models: readonly EngineModel[],
  measure: (model: EngineModel) => number,
): EngineModel {
  return models.reduce((best, model) =>
    measure(model) < measure(best) ? model : best
  );
}

/** Returns the mean time of a decision over a pool, in microseconds. */
function measureDecisionMicros(count: number): number {
  const random = createRandom(1);
  const models = Array.from(
    { length: count },
    (_, index) => new EngineModel(createServer(index)),
  );
  models.forEach((model) =>
    model.applyReport(
      { running: 4, queued: 0, queuedTokens: 100, lagMs: 100 },
      10_000,
    )
  );
  const decide = (rounds: number) => {
    const start = performance.now();
    for (let round = 0; round < rounds; round++) {
      pickEngine({
        engines: models,
        size: {
          ...CALL_SIZE,
          prefix: `session-${round % 50}`,
          prefixTokens: 200,
        },
        weights: WEIGHTS,
        dispatcherCount: 10,
        nowMs: 10_100,
        random,
      });
    }
    return ((performance.now() - start) / rounds) * 1_000;
  };
  decide(5_000);
  return decide(20_000);
}

function createServer(index: number): BackendServer {
  return {
    id: toBackendId(`e${index}`),
    service: "service-a",
    region: toRegionId("r1"),
    failureDomain: `fd${index % 3}`,
    url: `http://127.0.0.1:${index}`,
    isLeaving: false,
    slots: NEW_ENGINE.slots,
    pricePerSecond: 1,
    checksFencing: false,
  };
}
