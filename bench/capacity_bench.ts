import { computeRatedCores } from "../capacity/mod.ts";
import {
  createRandom,
  pickRandom,
  type Random,
  VirtualClock,
} from "../clock/mod.ts";
import { MIN_SELECTED, selectByCapacity } from "../directory/mod.ts";
import type { MemberRecord } from "../fleet/mod.ts";
import { toFailureDomainId } from "../ids/mod.ts";
import { computeUncachedWeight } from "../membership/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { type BenchResult, computeQuantile, toCell } from "./bench_case.ts";

const REGIONS = ["north", "south", "west"];
const FLEET_SIZES = [9, 72, 300];
/** Addresses of callers in each region: few, so that hashing is uneven, and many. */
const CALLER_COUNTS = [8, 100];
const SEEDS = [1, 2, 3];
/** Sizes within the ranges of docs/design/rollouts_and_capacity.md; an instance gets one at random. */
const SIZES = [
  { cores: 0.243, linkMbps: 7 },
  { cores: 0.324, linkMbps: 14 },
  { cores: 0.54, linkMbps: 35 },
  { cores: 0.675, linkMbps: 70 },
  { cores: 1.35, linkMbps: 140 },
];
/** Kinds of calls of the second deployment. */
const KINDS = [
  { perSecond: 111, tokens: 11_992, events: 48 },
  { perSecond: 142, tokens: 826, events: 36 },
  { perSecond: 158, tokens: 2_368, events: 3 },
  { perSecond: 151, tokens: 0, events: 1 },
  { perSecond: 35, tokens: 0, events: 1 },
];
const KINDS_PER_SECOND = KINDS.reduce((sum, kind) => sum + kind.perSecond, 0);
/** Instances among which the rates of the kinds are divided. */
const INSTANCES_OF_KINDS = 60;
/** Factor on the usual rate, as in a peak. */
const LOAD = 3;
// Costs of a call: together with the kinds about 10 ms of processor time, as measured in a
// day of 74 instances.
const CORE_MS_PER_CALL = 6;
const CORE_MS_PER_EVENT = 0.2;
const BYTES_PER_TOKEN = 4;
const BYTES_PER_EVENT = 250;
const BYTES_PER_HEAD = 600;
const BYTES_PER_SECOND_PER_MBPS = 125_000;

const STEP_MS = 100;
const TTL_MS = 2_000;
const STEADY_MS = 20_000;
/** Time for which a restarting instance accepts no calls, in milliseconds. */
const DOWN_MS = 3_000;
/** Time over which all instances restart, one after the other, in milliseconds. */
const RESTARTS_MS = 40_000;
/** Number of instances that weighted rendezvous hashing names, as the design page proposes. */
const FIXED_COUNT = 8;

type Select = (
  members: readonly MemberRecord[],
  caller: string,
) => readonly MemberRecord[];

interface Way {
  readonly name: string;
  readonly select: Select;
}

const WAYS: readonly Way[] = [
  { name: "all", select: (members) => members },
  { name: "classes", select: selectByClass },
  { name: "rendezvous", select: selectByRendezvous },
  {
    name: "shares",
    select: (members, caller) => selectByCapacity(members, caller, 64),
  },
];

interface BenchInstance {
  readonly member: MemberRecord;
  readonly cores: number;
  readonly linkMbps: number;
  isDown: boolean;
  /** Demand of the current second, in seconds of the whole processor and of the whole link. */
  processor: number;
  link: number;
  totalProcessor: number;
  totalLink: number;
}

interface BenchCaller {
  readonly address: string;
  readonly region: string;
  /** When its answer expires, in milliseconds. */
  expiresMs: number;
  named: readonly BenchInstance[];
}

/** Demand as a share of what instances have; 1: all of it. */
interface Measurement {
  /** Mean demand of the processor and of the link, of the instance that has the largest. */
  readonly worstProcessor: number;
  readonly worstLink: number;
  /** Mean demand of the smallest size, of processor or link. */
  readonly smallest: number;
  /** Mean demand of the failure domain that has the largest, of processor or link. */
  readonly worstDomain: number;
  /** Quantile 0.99 over instances and seconds while instances restart. */
  readonly restarting: number;
  /** Fraction of calls that came to an instance in a second in which more was asked of it than it has. */
  readonly lateCalls: number;
  /** The same while instances restart. */
  readonly lateWhileRestarting: number;
  /** Named instances that left a caller's answer, per caller and minute without any restart. */
  readonly named: number;
  /** Instances that a caller's answer loses while another one restarts, per restart. */
  readonly moved: number;
}

/**
 * Compares how the directory may spread callers over instances of different sizes: the
 * share of each instance's processor and link that callers ask for, in a steady state and
 * while all instances restart one after the other. Runs on a virtual clock, so results
 * repeat exactly.
 */
export async function runCapacityBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const count of FLEET_SIZES) {
    for (const callers of CALLER_COUNTS) {
      for (const way of WAYS) {
        const runs: Measurement[] = [];
        for (const seed of SEEDS) {
          runs.push(await measure(count, callers, way.select, seed));
        }
        const mean = (read: (run: Measurement) => number) =>
          runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
        const key = `${way.name}_${count}_${callers}`;
        figures[`worst_${key}`] = mean(({ worstProcessor, worstLink }) =>
          Math.max(worstProcessor, worstLink)
        );
        figures[`domain_${key}`] = mean(({ worstDomain }) => worstDomain);
        figures[`restarting_${key}`] = mean(({ restarting }) => restarting);
        figures[`late_restarting_${key}`] = mean((run) =>
          run.lateWhileRestarting
        );
        const toPercent = (read: (run: Measurement) => number) =>
          toCell(100 * mean(read), 1);
        rows.push([
          String(count),
          String(callers),
          way.name,
          toCell(mean(({ named }) => named)),
          toPercent((run) => run.worstProcessor),
          toPercent((run) => run.worstLink),
          toPercent((run) => run.smallest),
          toPercent((run) => run.worstDomain),
          toPercent((run) => run.restarting),
          toPercent((run) => run.lateCalls),
          toPercent((run) => run.lateWhileRestarting),
          toCell(mean(({ moved }) => moved), 2),
        ]);
      }
    }
  }
  return {
    head: [
      "INSTANCES",
      "CALLERS",
      "WAY",
      "NAMED",
      "WORST CPU %",
      "WORST LINK %",
      "SMALLEST %",
      "DOMAIN %",
      "RESTARTS P99 %",
      "LATE %",
      "LATE IN RESTARTS %",
      "MOVED",
    ],
    rows,
    figures,
    notes: [
      `Callers: addresses in each region. Load: ${LOAD} times the usual one.`,
      "Late: calls in seconds in which more was asked of their instance than it has.",
      "Moved: instances that an answer loses for each restart of another instance.",
    ],
  };
}

async function measure(
  count: number,
  callersPerRegion: number,
  select: Select,
  seed: number,
): Promise<Measurement> {
  const random = createRandom(seed);
  const clock = new VirtualClock();
  const instances = createInstances(count, random);
  const callers = createCallers(callersPerRegion);
  const callsPerStep = LOAD * KINDS_PER_SECOND * count / INSTANCES_OF_KINDS *
    STEP_MS / 1_000;
  const demands: number[] = [];
  const counted = { calls: 0, late: 0, named: 0, answers: 0, moved: 0 };
  let second = new Map<BenchInstance, number>();
  const resolve = (caller: BenchCaller) => {
    const up = instances.filter(({ isDown, member }) =>
      !isDown && member.region === caller.region
    );
    const selected = select(up.map(({ member }) => member), caller.address);
    const byId = new Map(up.map((one) => [one.member.id, one]));
    const named = selected.map(({ id }) => byId.get(id)!);
    counted.named += named.length;
    counted.answers++;
    counted.moved +=
      caller.named.filter((one) => !one.isDown && !named.includes(one)).length;
    caller.named = named;
    caller.expiresMs = clock.nowMs() + TTL_MS;
  };
  const addCall = () => {
    const caller = pickRandom(callers, random)!;
    if (clock.nowMs() >= caller.expiresMs) resolve(caller);
    const instance = pickRandom(
      caller.named.filter(({ isDown }) => !isDown),
      random,
    );
    if (instance === undefined) return;
    const { events, tokens } = pickKind(random);
    const coreMs = CORE_MS_PER_CALL + events * CORE_MS_PER_EVENT;
    const bytes = BYTES_PER_HEAD + tokens * BYTES_PER_TOKEN +
      events * BYTES_PER_EVENT;
    instance.processor += coreMs / 1_000 / instance.cores;
    instance.link += bytes / BYTES_PER_SECOND_PER_MBPS / instance.linkMbps;
    second.set(instance, (second.get(instance) ?? 0) + 1);
  };
  const endSecond = () => {
    instances.forEach((instance) => {
      const { link, processor } = instance;
      const demand = Math.max(link, processor);
      const calls = second.get(instance) ?? 0;
      demands.push(demand);
      counted.calls += calls;
      if (demand > 1) counted.late += calls;
      instance.totalLink += link;
      instance.totalProcessor += processor;
      instance.link = 0;
      instance.processor = 0;
    });
    second = new Map();
  };
  const run = async (durationMs: number, onStep: () => void) => {
    const endMs = clock.nowMs() + durationMs;
    for (let step = 1; clock.nowMs() < endMs; step++) {
      await clock.advance(STEP_MS);
      onStep();
      Array.from({ length: drawCount(callsPerStep, random) }, addCall);
      if (step % (1_000 / STEP_MS) === 0) endSecond();
    }
  };
  await run(STEADY_MS, () => {});
  const seconds = STEADY_MS / 1_000;
  const toShare = ({ totalLink, totalProcessor }: BenchInstance) =>
    Math.max(totalLink, totalProcessor) / seconds;
  const steady = {
    worstProcessor: Math.max(
      ...instances.map(({ totalProcessor }) => totalProcessor / seconds),
    ),
    worstLink: Math.max(
      ...instances.map(({ totalLink }) => totalLink / seconds),
    ),
    smallest: computeMean(
      instances.filter(({ cores }) => cores === SIZES[0]!.cores).map(toShare),
    ),
    worstDomain: computeWorstDomain(instances, seconds),
    lateCalls: counted.late / counted.calls,
    named: counted.named / counted.answers,
  };
  demands.length = 0;
  Object.assign(counted, { calls: 0, late: 0, moved: 0 });
  const intervalMs = RESTARTS_MS / instances.length;
  const startMs = clock.nowMs();
  await run(RESTARTS_MS + DOWN_MS, () => {
    const elapsedMs = clock.nowMs() - startMs;
    instances.forEach((instance, at) => {
      const downMs = elapsedMs - at * intervalMs;
      instance.isDown = downMs >= 0 && downMs < DOWN_MS;
    });
  });
  return {
    ...steady,
    restarting: computeQuantile(demands, 0.99),
    lateWhileRestarting: counted.late / counted.calls,
    moved: counted.moved / callers.length /
      (instances.length / REGIONS.length),
  };
}

function createInstances(
  count: number,
  random: Random,
): readonly BenchInstance[] {
  return Array.from({ length: count }, (_, at) => {
    const region = REGIONS[at % REGIONS.length]!;
    const domain = Math.floor(at / REGIONS.length) % 2 === 0 ? "a" : "b";
    const size = pickRandom(SIZES, random)!;
    const ratedCores = computeRatedCores(size)!;
    return {
      ...size,
      member: {
        ...createMember(`${region}-${at}`, region),
        failureDomain: toFailureDomainId(`${region}-${domain}`),
        capacity: { ratedCores, currentCores: ratedCores },
      },
      isDown: false,
      processor: 0,
      link: 0,
      totalProcessor: 0,
      totalLink: 0,
    };
  });
}

function createCallers(perRegion: number): readonly BenchCaller[] {
  return REGIONS.flatMap((region, regionAt) =>
    Array.from({ length: perRegion }, (_, at) => ({
      address: `10.${regionAt}.${Math.floor(at / 250)}.${at % 250}`,
      region,
      expiresMs: 0,
      named: [],
    }))
  );
}

function computeWorstDomain(
  instances: readonly BenchInstance[],
  seconds: number,
): number {
  const domains = new Set(instances.map(({ member }) => member.failureDomain));
  return Math.max(
    ...[...domains].map((domain) => {
      const own = instances.filter(({ member }) =>
        member.failureDomain === domain
      );
      const sum = (read: (one: BenchInstance) => number) =>
        own.reduce((total, one) => total + read(one), 0);
      return Math.max(
        sum(({ cores, totalProcessor }) => totalProcessor * cores) /
          sum(({ cores }) => cores),
        sum(({ linkMbps, totalLink }) => totalLink * linkMbps) /
          sum(({ linkMbps }) => linkMbps),
      ) / seconds;
    }),
  );
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}

function pickKind(random: Random): (typeof KINDS)[number] {
  let rest = random.nextFloat() * KINDS_PER_SECOND;
  return KINDS.find(({ perSecond }) => (rest -= perSecond) < 0) ?? KINDS[0]!;
}

/** Draws from a Poisson distribution. */
function drawCount(mean: number, random: Random): number {
  let count = 0;
  for (let time = 0;; count++) {
    time -= Math.log(1 - random.nextFloat());
    if (time > mean) return count;
  }
}

/** Weighted rendezvous hashing: names the first few instances, with a chance that grows with capacity. */
function selectByRendezvous(
  members: readonly MemberRecord[],
  caller: string,
): readonly MemberRecord[] {
  const toKey = ({ capacity, id }: MemberRecord) =>
    -Math.log((computeUncachedWeight(caller, id) + 1) / (2 ** 32 + 1)) /
    capacity!.currentCores;
  return members.map((member) => ({ member, key: toKey(member) }))
    .sort((a, b) => a.key - b.key).slice(0, FIXED_COUNT)
    .map(({ member }) => member);
}

/** Names all instances of the largest class, and leaves out half of them for each class below it. */
function selectByClass(
  members: readonly MemberRecord[],
  caller: string,
): readonly MemberRecord[] {
  const toClass = ({ capacity }: MemberRecord) =>
    Math.floor(Math.log2(capacity!.currentCores));
  const largest = Math.max(...members.map(toClass));
  const ranked = members.map((member) => ({
    member,
    key: computeUncachedWeight(caller, member.id) / 2 ** 32 *
      2 ** (largest - toClass(member)),
  })).sort((a, b) => a.key - b.key);
  const inShare = ranked.filter(({ key }) => key < 1).length;
  return ranked.slice(0, Math.max(MIN_SELECTED, inShare))
    .map(({ member }) => member);
}
