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
import { type BenchResult, readQuantile, toCell } from "./bench_case.ts";

const ENGINES = 400;
const RATE = 1_500;
const DURATION_MS = 12_000;
const WARM_MS = 3_000;
const SIZE = {
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

/** Measures many daemons before one large pool, and the time of a decision. */
export async function runSubsetBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const deciders of [30, 50]) {
    const policies: readonly Policy[] = [
      "omniscient",
      "all, least reported",
      "all, sampled",
      "subset of 64, sampled",
      "subset of 64, own reports",
    ];
    for (const policy of policies) {
      const run = runOne(deciders, policy);
      rows.push([
        String(deciders),
        policy,
        String(run.maxQueue),
        toCell(run.p95, 0),
        toCell(run.p99, 0),
        toCell(run.decisionMicros, 2),
      ]);
      const key = `${policy.replaceAll(/[^a-z0-9]+/g, "_")}_${deciders}`;
      figures[`${key}_max_queue`] = run.maxQueue;
      figures[`${key}_p95`] = run.p95;
      figures[`${key}_decision_us`] = run.decisionMicros;
    }
  }
  const times = [8, 123, 400].map((count) => measureDecision(count));
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
      "DECIDERS",
      "POLICY",
      "MOST IN ONE ENGINE",
      "TTFT P95 MS",
      "P99",
      "DECISION US",
    ],
    rows,
    figures,
    notes: [
      `${ENGINES} engines, ${RATE} calls a second, each engine polled by two daemons a second; ` +
      "pure decisions on a virtual clock",
    ],
  });
}

function runOne(deciderCount: number, policy: Policy) {
  const clock = new VirtualClock();
  const random = createRandom(31);
  const servers = Array.from(
    { length: ENGINES },
    (_, index) => createServer(index),
  );
  const cores = new Map(
    servers.map(({ id }) => [id, new EngineCore(clock, NEW_ENGINE)]),
  );
  const names = Array.from({ length: deciderCount }, (_, index) => `d${index}`);
  const deciders = names.map((self) => {
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
      sharing: Math.max(1, (deciderCount * models.length) / ENGINES),
    };
  });
  const observers = new Map(
    servers.map(({ id }) => [id, pickObservers(id, names, 2)]),
  );
  // What the two observers of an engine poll goes to the others with the next digest.
  for (let atMs = 0; atMs < DURATION_MS; atMs += 1_000) {
    clock.schedule(
      atMs + 50,
      () =>
        deciders.forEach(({ models, self }) =>
          models.forEach((model) => {
            const isObserver = observers.get(model.server.id)!.includes(self);
            const isOwnOnly = policy === "subset of 64, own reports";
            if (isOwnOnly && !isObserver) return;
            // Two polls a second for the 16 engines that a daemon observes.
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
    const decider = deciders[Math.floor(random.nextFloat() * deciders.length)]!;
    const startMs = clock.nowMs();
    const before = performance.now();
    const engine = choose(policy, decider, { cores, nowMs: startMs, random });
    decisionMs += performance.now() - before;
    decisions++;
    const attempt = toAttemptId(String(sequence++));
    engine.recordDispatch(attempt, SIZE, startMs);
    const core = cores.get(engine.server.id)!;
    clock.schedule(1, () => {
      // Each answer carries a report, too.
      engine.applyReport(core.readLoad(), clock.nowMs());
      core.submit({
        id: attempt,
        promptTokens: SIZE.promptTokens,
        prefix: undefined,
        prefixTokens: 0,
        outputTokens: SIZE.outputTokens,
        rank: 0,
        onToken: (index) => {
          if (index > 0) return;
          engine.recordFirstToken(attempt, clock.nowMs());
          if (startMs > 1_000_000 + WARM_MS) {
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
      if (startMs > 1_000_000 + WARM_MS) {
        maxQueue = Math.max(maxQueue, core.inSystem);
      }
    });
    clock.schedule((-Math.log(1 - random.nextFloat()) / RATE) * 1_000, arrive);
  };
  clock.schedule(100, arrive);
  clock.advanceSync(DURATION_MS);
  return {
    maxQueue,
    p95: readQuantile(firstTokens, 0.95),
    p99: readQuantile(firstTokens, 0.99),
    decisionMicros: (decisionMs / decisions) * 1_000,
  };
}

function choose(
  policy: Policy,
  decider: {
    readonly models: readonly EngineModel[];
    readonly sharing: number;
  },
  world: {
    readonly cores: ReadonlyMap<string, EngineCore>;
    readonly nowMs: number;
    readonly random: ReturnType<typeof createRandom>;
  },
): EngineModel {
  const { models, sharing } = decider;
  const { cores, nowMs, random } = world;
  switch (policy) {
    case "omniscient":
      return pickLeast(models, (model) => cores.get(model.server.id)!.inSystem);
    case "all, least reported":
      return pickLeast(models, (model) => model.estimateInSystem(0, nowMs));
    case "all, sampled":
    case "subset of 64, sampled":
    case "subset of 64, own reports":
      return pickEngine({
        engines: models,
        size: SIZE,
        weights: WEIGHTS,
        deciders: sharing,
        nowMs,
        random,
      })!;
  }
}

function pickLeast(
  models: readonly EngineModel[],
  measure: (model: EngineModel) => number,
): EngineModel {
  return models.reduce((best, model) =>
    measure(model) < measure(best) ? model : best
  );
}

/** Mean time of a decision over a pool, in microseconds. */
function measureDecision(count: number): number {
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
        size: { ...SIZE, prefix: `session-${round % 50}`, prefixTokens: 200 },
        weights: WEIGHTS,
        deciders: 10,
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
