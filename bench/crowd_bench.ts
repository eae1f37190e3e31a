import { createRandom, type Random, VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { INITIAL_LIMITS, RouteTable } from "../http_routes/mod.ts";
import { toFailureDomainId } from "../ids/mod.ts";
import { createServerEntry } from "../tests/member_fixture.ts";
import {
  createVirtualGateway,
  LOADED_STATE,
} from "../tests/virtual_gateway.ts";
import { type BenchResult, computeQuantile, toCell } from "./bench_case.ts";
import {
  encodePrompt,
  PROMPT_HEADER_CODEC,
  VirtualEngine,
} from "./virtual_engine.ts";

/** Instances and engines of one region, and the factor on its call rate. */
const SIZES = [
  { instances: 3, engines: 10, load: 1 },
  { instances: 23, engines: 10, load: 1 },
  { instances: 65, engines: 10, load: 1 },
  { instances: 3, engines: 10, load: 3 },
  { instances: 23, engines: 10, load: 3 },
  { instances: 65, engines: 10, load: 3 },
] as const;
const SEEDS = [1, 2, 3] as const;
const WARM_UP_MS = 4_000;
const RUN_MS = 10_000;
const HOST = "app.example";

/** Kinds of streams on the users' largest fleet, at a third of its call rate. */
const KINDS = [
  {
    name: "long",
    perSecond: 14.5,
    sharedTokens: 13_300,
    sharedPrefixCount: 60,
    ownTokens: 3_720,
    events: 20,
    targetMs: 1_014,
    timeoutMs: 8_000,
  },
  {
    name: "short",
    perSecond: 200,
    sharedTokens: 92,
    sharedPrefixCount: 12,
    ownTokens: 291,
    events: 8,
    targetMs: 805,
    timeoutMs: 4_000,
  },
] as const;
const EVENT_TOKENS = 6;
const ENGINE = {
  slots: 16,
  queue: 48,
  stepMs: 4.23,
  stepMsPerSequence: 0.09,
  tokensReadPerMs: 64.2,
  chunkTokens: 2_048,
  cacheTokens: 250_000,
  eventTokens: EVENT_TOKENS,
};

const TABLE = new RouteTable({
  version: 1,
  routes: KINDS.map(({ name, targetMs, timeoutMs }, priority) => ({
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    routeClass: "stream",
    timeoutMs,
    targetMs,
    maxTokenGapMs: 400,
    priority,
    services: [{ service: "app", weight: 1 }],
    maxAttempts: 2,
    isPublic: true,
    isResumable: true,
    homeRegions: undefined,
  })),
  services: [{
    name: "app",
    maxConnections: 1_300,
    warmUpMs: 0,
    warmUpCallsPerSecond: 0,
    engine: { maxSequences: ENGINE.slots, cacheTokens: 307_970 },
  }],
  limits: INITIAL_LIMITS,
  teams: undefined,
});

interface Measurement {
  /** Fraction of the calls of each kind whose first event came within the target. */
  readonly inTime: readonly number[];
  /** Times to the first event of the calls of each kind. */
  readonly firstEventMs: readonly (readonly number[])[];
  /** Largest number of calls at one engine over the mean of all engines, averaged over samples. */
  readonly crowding: number;
  /** Prompt tokens that engines processed per call, cached ones excluded. */
  readonly prefillTokensPerCall: number;
}

/**
 * Measures how evenly instances that all know the same loads spread calls over
 * the same engines. The users' streams run on a virtual clock, so results repeat exactly.
 */
export async function runCrowdBench(): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  const rows: string[][] = [];
  for (const size of SIZES) {
    const runs: Measurement[] = [];
    for (const seed of SEEDS) runs.push(await measure(size, seed));
    const mean = (read: (run: Measurement) => number) =>
      runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
    const [long, short] = KINDS.map((_, at) => mean((run) => run.inTime[at]!));
    const crowding = mean((run) => run.crowding);
    const key = `${size.instances}_load_${size.load}`;
    figures[`long_in_time_${key}`] = long!;
    figures[`short_in_time_${key}`] = short!;
    figures[`crowding_${key}`] = crowding;
    rows.push([
      String(size.instances),
      String(size.load),
      toCell(100 * long!),
      toCell(100 * short!),
      toCell(
        mean(({ firstEventMs }) => computeQuantile(firstEventMs[0]!, 0.95)),
        0,
      ),
      toCell(
        mean(({ firstEventMs }) => computeQuantile(firstEventMs[1]!, 0.95)),
        0,
      ),
      toCell(crowding, 2),
      toCell(mean(({ prefillTokensPerCall }) => prefillTokensPerCall), 0),
    ]);
  }
  return {
    head: [
      "INSTANCES",
      "LOAD",
      "LONG IN TIME %",
      "SHORT IN TIME %",
      "LONG P95 MS",
      "SHORT P95 MS",
      "MOST OVER MEAN",
      "TOKENS READ A CALL",
    ],
    rows,
    figures,
  };
}

async function measure(
  { engines, instances, load }: typeof SIZES[number],
  seed: number,
): Promise<Measurement> {
  const clock = new VirtualClock();
  const random = createRandom(seed);
  const stopped = new AbortController();
  const servers = new Map(
    Array.from({ length: engines }, (_, at) => [
      `e${at}:1`,
      new VirtualEngine({ ...ENGINE, clock }),
    ]),
  );
  const gateways = startGateways(instances, servers, clock, stopped.signal);
  await clock.advance(WARM_UP_MS);
  const firstEventDelaysMs = KINDS.map((): number[] => []);
  const counts = KINDS.map(() => ({ started: 0, inTime: 0 }));
  const endMs = clock.nowMs() + RUN_MS;
  const startCall = (kind: number) => {
    const { targetMs } = KINDS[kind]!;
    const startMs = clock.nowMs();
    counts[kind]!.started++;
    const gateway = gateways[Math.floor(random.nextFloat() * gateways.length)]!;
    let hasFirstEvent = false;
    void gateway.handle(createCall(kind, startMs, random), {
      signal: stopped.signal,
      begin: () => {},
      write: () => {
        if (hasFirstEvent) return true;
        hasFirstEvent = true;
        const waitedMs = clock.nowMs() - startMs;
        firstEventDelaysMs[kind]!.push(waitedMs);
        if (waitedMs <= targetMs) counts[kind]!.inTime++;
        return true;
      },
      onDrain: () => {},
      end: () => {},
      abort: () => {},
    });
  };
  const startCalls = (kind: number) => {
    if (clock.nowMs() >= endMs) return;
    startCall(kind);
    clock.schedule(
      drawInterArrivalMs(kind, load, random),
      () => startCalls(kind),
    );
  };
  KINDS.forEach((_, kind) => startCalls(kind));
  const crowding: number[] = [];
  while (clock.nowMs() < endMs) {
    await clock.advance(50);
    const calls = [...servers.values()].map((server) => server.calls);
    const total = calls.reduce((sum, each) => sum + each, 0);
    if (total > 0) crowding.push(Math.max(...calls) * calls.length / total);
  }
  await clock.advance(8_000);
  stopped.abort("measured");
  const started = counts.reduce((sum, each) => sum + each.started, 0);
  const read = [...servers.values()]
    .reduce((sum, { readTokens }) => sum + readTokens, 0);
  return {
    inTime: counts.map((each) => each.inTime / each.started),
    firstEventMs: firstEventDelaysMs,
    crowding: crowding.reduce((sum, each) => sum + each, 0) / crowding.length,
    prefillTokensPerCall: read / started,
  };
}

/** Starts the instances of a region; reports between them take 1 ms. */
function startGateways(
  count: number,
  servers: ReadonlyMap<string, VirtualEngine>,
  clock: VirtualClock,
  signal: AbortSignal,
): readonly HttpGateway[] {
  const byAddress = new Map<string, HttpGateway>();
  const create = (index: number) => {
    const address = `north-${index}`;
    const gateway = createVirtualGateway(address, {
      clock,
      random: createRandom(index + 1),
      headerCodec: PROMPT_HEADER_CODEC,
      seedAddresses: ["north-0"],
      self: {
        ...createVirtualGateway(address).fleet.self,
        failureDomain: toFailureDomainId(`north-${index % 2}`),
      },
      client: {
        send: (request, events) =>
          servers.get(request.address)!.send(request, events),
      },
      createState: (sinks) => {
        [...servers.keys()].forEach((server) => {
          const [name] = server.split(":");
          sinks.registry.put(
            createServerEntry(name!, { slots: ENGINE.slots }),
            clock.nowMs(),
          );
        });
        queueMicrotask(() => sinks.applyTable(TABLE));
        return LOADED_STATE;
      },
      sendReport: (report, to, { echoes } = {}) =>
        to.forEach((other, at) =>
          clock.schedule(1, () =>
            byAddress.get(other)?.receiveReport(
              { ...report, echo: echoes?.[at] ?? 0 },
              address,
            ))
        ),
    });
    byAddress.set(address, gateway);
    clock.schedule((index * 37) % 150, () => gateway.start(signal));
    return gateway;
  };
  return Array.from({ length: count }, (_, index) => create(index));
}

function createCall(kind: number, receivedMs: number, random: Random) {
  const { events, name, ownTokens, sharedPrefixCount, sharedTokens } =
    KINDS[kind]!;
  const shared = Math.floor(random.nextFloat() * sharedPrefixCount);
  const own = Math.floor(random.nextFloat() * 2 ** 31).toString(16);
  const headers = [
    "Host",
    HOST,
    ...encodePrompt({
      model: undefined,
      promptTokens: sharedTokens + ownTokens,
      maxOutputTokens: events * EVENT_TOKENS,
      parts: [
        { id: `${kind}${shared.toString(16)}`, tokens: sharedTokens },
        { id: own, tokens: ownTokens },
      ],
    }),
  ];
  return {
    method: "POST",
    target: `/${name}/x`,
    headers,
    body: Buffer.alloc(0),
    receivedMs,
    unreadMs: 0,
    origin: { kind: "caller" as const },
  };
}

/** Returns the time until the next call of a kind: calls arrive independently of each other. */
function drawInterArrivalMs(
  kind: number,
  load: number,
  random: Random,
): number {
  return -1_000 * Math.log(1 - random.nextFloat()) /
    (load * KINDS[kind]!.perSecond);
}
