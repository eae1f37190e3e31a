import { createRandom, pickRandom, type Random } from "../clock/mod.ts";
import {
  type Fault,
  type PlannedFault,
  type ServerFaultKind,
  STANDSTILL_CHANGES,
  type StandstillChange,
} from "./fault.ts";

/** Faults after all others. */
export interface QuietPlan {
  /** Whether the servers have few slots meanwhile, and reject calls beyond them. */
  readonly hasFullServers: boolean;
  readonly standstills: readonly PlannedFault[];
}

/** Arguments of {@linkcode createPlan}. */
export interface PlanParts {
  readonly seed: number;
  /** Length of the traffic, in seconds. */
  readonly seconds: number;
  /** Number of instances; those of a region follow each other. */
  readonly instances: number;
  readonly instancesPerRegion: number;
  /** Number of backend servers. */
  readonly servers: number;
}

/** How long a standstill lasts, in milliseconds. */
const STANDSTILL_MS = { min: 1_000, max: 1_300 };
/** Longest time between the start of a standstill and the change beside it, in milliseconds. */
const MAX_STANDSTILL_OFFSET_MS = 400;
/** Length of the intervals that have one standstill each, in milliseconds. */
const STANDSTILL_INTERVAL_MS = 4_000;
/** Changes after which the service is soon as before: a stopped instance is away for longer. */
const QUIET_CHANGES = STANDSTILL_CHANGES.filter((change) => change !== "stop");
/** Starts of the standstills after all other faults, in milliseconds from their end. */
const QUIET_STANDSTILLS_MS = [1_500, 3_900];
/** Share of the seeds whose servers have few slots then. */
const FULL_SERVERS_SHARE = 2 / 3;
/** Share of the servers that stand still if it is neither all nor those of a region. */
const STANDSTILL_SHARE = 0.6;
const KINDS = ["instance", "link", "server", "store", "operator"] as const;
const INSTANCE_FAULTS = ["kill", "pause", "stop", "reload"] as const;
const LINK_TARGETS = ["store", "server"] as const;
const LINK_MODES = [
  "delay",
  "silence",
  "one-way",
  "reset",
  "trickle",
] as const;
const SERVER_FAULTS = ["crash", "hang", "fail", "break-off", "drain"] as const;
const STORE_FAULTS = ["down", "slow", "forget"] as const;
const OPERATOR_CHANGES = ["configure", "evacuate"] as const;

/**
 * Time without faults at the start, in milliseconds, so that every process serves before the
 * first fault.
 */
const FAULT_FREE_START_MS = 1_500;
/**
 * Time without faults at the end, in milliseconds: instances that lost the store count as
 * connected again after 5 s, and servers that did not answer are tried again after 4 s.
 */
export const FAULT_FREE_END_MS = 9_000;
/** Length of the intervals that have one crowd each, in milliseconds. */
const CROWD_INTERVAL_MS = 6_000;
/**
 * How long the instance of a crowd is stalled, in milliseconds: the callers disconnect halfway
 * through.
 */
const CROWD_MS = 2_000;
/**
 * Length of the intervals that have one server restart and one overwritten entry each, in
 * milliseconds.
 */
const ENTRY_FAULT_INTERVAL_MS = 10_000;
/**
 * How long an entry stays overwritten, in milliseconds: longer than departed servers may get
 * calls.
 */
const OVERWRITTEN_MS = 8_000;
/**
 * Length of the intervals that have one shutdown of all home regions each, in milliseconds.
 * A run of the default length has at least two, since a shutdown is skipped where a fault
 * disturbs one of the instances already, which is often so.
 */
const HOME_STOP_INTERVAL_MS = 5_000;
/**
 * How long the home regions stay down once their instances have ended, in milliseconds: callers
 * query the directories a few times meanwhile.
 */
const HOME_STOP_MS = 2_000;
/**
 * Length of the intervals that have one server that asks for a cool-down and one that
 * advertises that it is leaving, in milliseconds.
 */
const ADVERTISEMENT_INTERVAL_MS = 7_000;
/** Duration of these two faults, in milliseconds: longer than the requested cool-down. */
const ADVERTISEMENT_MS = 4_000;
/** Length of the intervals that have one server with an advertised limit each, in milliseconds. */
const LIMIT_INTERVAL_MS = 7_000;
/**
 * How long a server advertises a limit, in milliseconds: longer than the window in which its
 * calls are counted.
 */
const LIMIT_MS = 5_500;
/**
 * Length of the intervals that have one restore of the store from a backup each, in
 * milliseconds.
 */
const RESTORE_INTERVAL_MS = 7_000;
/** Time between backup and restore, in milliseconds: writes of this time are lost. */
const RESTORE_MS = 3_000;
/** How instances may lose their links to all servers. */
const CUT_OFF_STATES = ["hanging", "reset", "refusing"] as const;
/**
 * How long instances are cut off from all servers, in milliseconds: the 5 s after which their
 * callers have to be served, and as long again.
 */
const CUT_OFF_MS = 10_000;
/** How long a server says that it survives few rejections, in milliseconds. */
const BRITTLE_MS = 6_000;
/** Length of the intervals that have one such server each, in milliseconds. */
const BRITTLE_INTERVAL_MS = 7_000;
/** How much earlier than all other faults it begins where it comes first, in milliseconds. */
const CUT_OFF_LEAD_MS = 300;
/** How long a server is silent that goes on afterwards, in milliseconds. */
const SILENT_MS = 1_000;
/** Length of the intervals that have one silent server each, in milliseconds. */
const SILENCE_INTERVAL_MS = 3_000;
/** How long a server cuts answers, in milliseconds. */
const CUT_ANSWERS_MS = 2_000;
/** Length of the intervals that have one such server each, in milliseconds. */
const CUT_ANSWERS_INTERVAL_MS = 4_000;
/** How long a server sends late refusals before its answers, in milliseconds. */
const STRAY_REFUSALS_MS = 1_000;
/** Length of the intervals that have one such server each, in milliseconds. */
const STRAY_REFUSALS_INTERVAL_MS = 5_000;
/** Time limit of a rollout, in milliseconds, as in the users' orders. */
const ROLLOUT_MS = 12_000;
/** Share of the seeds that have a rollout, and of those the shares with a bad version and with engines. */
const ROLLOUT_SHARE = { any: 2 / 3, bad: 1 / 2, engines: 1 / 2 } as const;
/** Time between the starts of two faults, in milliseconds. */
const FAULT_GAP_MS = { min: 300, max: 1_500 };
/** Duration of a fault, in milliseconds. */
const FAULT_DURATION_MS = { min: 300, max: 4_000 };

/** Odd 32-bit factor that makes the first random numbers of consecutive seeds differ widely. */
const SEED_SPREAD = 0x9e3779b1;

/** Server faults of which there is one in each interval; each has random numbers of its own. */
const RECURRING_SERVER_FAULTS = {
  limits: {
    what: "limit",
    salt: 0,
    intervalMs: LIMIT_INTERVAL_MS,
    durationMs: LIMIT_MS,
  },
  /** The server fails if it rejects too many calls. */
  brittle: {
    what: "brittle",
    salt: 4,
    intervalMs: BRITTLE_INTERVAL_MS,
    durationMs: BRITTLE_MS,
  },
  cutAnswers: {
    what: "cut",
    salt: 5,
    intervalMs: CUT_ANSWERS_INTERVAL_MS,
    durationMs: CUT_ANSWERS_MS,
  },
  strayRefusals: {
    what: "stray",
    salt: 9,
    intervalMs: STRAY_REFUSALS_INTERVAL_MS,
    durationMs: STRAY_REFUSALS_MS,
  },
} as const satisfies Readonly<Record<string, RecurringServerFault>>;

/** A fault that one server has in each interval. */
interface RecurringServerFault {
  readonly what: ServerFaultKind;
  /** Separates its random numbers from those of other faults. */
  readonly salt: number;
  readonly intervalMs: number;
  readonly durationMs: number;
}

/**
 * Returns the faults for a seed; the same arguments always give the same plan. Each kind of
 * fault that recurs has a separate random sequence, so that it does not change the others.
 */
export function createPlan(parts: PlanParts): readonly PlannedFault[] {
  const random = createRandom(parts.seed);
  const endMs = 1_000 * parts.seconds - FAULT_FREE_END_MS;
  const faults: PlannedFault[] = [];
  let atMs = FAULT_FREE_START_MS;
  while (atMs < endMs) {
    const durationMs = Math.min(
      endMs - atMs,
      pickBetween(FAULT_DURATION_MS, random),
    );
    faults.push({ fault: pickFault(parts, random), atMs, durationMs });
    atMs += pickBetween(FAULT_GAP_MS, random);
  }
  return [
    ...faults,
    ...planCrowds(parts, endMs),
    ...planEntryFaults(parts, endMs),
    ...planHomeStops(parts, endMs),
    ...planCrashingCalls(endMs),
    ...planAdvertisements(parts, endMs),
    ...planServerFaults(parts, endMs, RECURRING_SERVER_FAULTS.limits),
    ...planRestores(parts, endMs),
    ...planCutOffs(parts, endMs),
    ...planSilences(parts, endMs),
    ...planServerFaults(parts, endMs, RECURRING_SERVER_FAULTS.strayRefusals),
    ...planServerFaults(parts, endMs, RECURRING_SERVER_FAULTS.brittle),
    ...planServerFaults(parts, endMs, RECURRING_SERVER_FAULTS.cutAnswers),
    ...planRollouts(parts, endMs),
    ...planStandstills(parts, endMs),
  ];
}

/** Plans standstills of many servers, from a separate random sequence as for crowds. */
function planStandstills(
  parts: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(parts.seed, SEED_SPREAD) ^ 7);
  return planRecurring({
    random,
    intervalMs: STANDSTILL_INTERVAL_MS,
    durationMs: STANDSTILL_MS.max + MAX_STANDSTILL_OFFSET_MS,
    endMs,
  }, () => drawStandstill(parts, STANDSTILL_CHANGES, random));
}

/**
 * Returns the standstills after all other faults, when most calls reach a server, with times
 * from the end of the faults.
 */
export function createQuietPlan(parts: PlanParts): QuietPlan {
  const random = createRandom(Math.imul(parts.seed, SEED_SPREAD) ^ 8);
  return {
    hasFullServers: random.nextFloat() < FULL_SERVERS_SHARE,
    standstills: QUIET_STANDSTILLS_MS.map((atMs) => ({
      fault: drawStandstill(parts, QUIET_CHANGES, random),
      atMs,
      durationMs: STANDSTILL_MS.max + MAX_STANDSTILL_OFFSET_MS,
    })),
  };
}

function drawStandstill(
  parts: PlanParts,
  changes: readonly StandstillChange[],
  random: Random,
): Fault {
  return {
    kind: "standstill",
    slots: pickStill(parts, random),
    stillMs: pickBetween(STANDSTILL_MS, random),
    beside: pickRandom(changes, random)!,
    offsetMs: pickBetween({
      min: -MAX_STANDSTILL_OFFSET_MS,
      max: MAX_STANDSTILL_OFFSET_MS,
    }, random),
    index: drawIndex(parts.instances, random),
  };
}

/** Returns all servers, those of a region, or six in ten of all. */
function pickStill(
  { instances, instancesPerRegion, servers }: PlanParts,
  random: Random,
): readonly number[] {
  const all = Array.from({ length: servers }, (_, index) => index);
  const perRegion = servers * instancesPerRegion / instances;
  const region = drawIndex(servers / perRegion, random);
  const drawn = all.map((index) => ({ index, order: random.nextFloat() }))
    .sort((one, other) => one.order - other.order)
    .slice(0, Math.round(STANDSTILL_SHARE * servers))
    .map(({ index }) => index);
  const regional = all.filter((index) =>
    Math.floor(index / perRegion) === region
  );
  return pickRandom([all, regional, drawn], random)!;
}

/** Plans one rollout in a part of the seeds, from a separate random sequence as for crowds. */
function planRollouts(
  { seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(seed, SEED_SPREAD) ^ 6);
  const spareMs = endMs - FAULT_FREE_START_MS - ROLLOUT_MS;
  if (spareMs < 0 || random.nextFloat() >= ROLLOUT_SHARE.any) return [];
  const isBad = random.nextFloat() < ROLLOUT_SHARE.bad;
  return [{
    fault: {
      kind: "rollout",
      what: isBad ? "bad" : "good",
      servers: random.nextFloat() < ROLLOUT_SHARE.engines ? "engines" : "plain",
    },
    atMs: FAULT_FREE_START_MS + Math.round(random.nextFloat() * spareMs),
    durationMs: ROLLOUT_MS,
  }];
}

/**
 * Plans one loss of links to all servers, from a separate random sequence as for crowds. In
 * half of the seeds it comes before all others: it is skipped if an instance is disturbed.
 */
function planCutOffs(
  parts: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(parts.seed, SEED_SPREAD) ^ 2);
  const spareMs = endMs - FAULT_FREE_START_MS - CUT_OFF_MS;
  if (spareMs < 0) return [];
  const isFirst = random.nextFloat() < 0.5;
  const afterMs = isFirst
    ? -CUT_OFF_LEAD_MS
    : Math.round(random.nextFloat() * spareMs);
  const state = pickRandom(CUT_OFF_STATES, random)!;
  return [{
    fault: { kind: "cut-off", indices: pickCutOff(parts, random), state },
    atMs: FAULT_FREE_START_MS + afterMs,
    durationMs: CUT_OFF_MS,
  }];
}

/** Returns all instances of a region, or all but one of each region. */
function pickCutOff(
  { instances, instancesPerRegion }: PlanParts,
  random: Random,
): readonly number[] {
  const isDomain = random.nextFloat() < 0.3;
  const regions = instances / instancesPerRegion;
  const region = Math.floor(random.nextFloat() * regions);
  const spared = Math.floor(random.nextFloat() * instancesPerRegion);
  return Array.from({ length: instances }, (_, index) => index)
    .filter((index) => {
      const isInRegion = Math.floor(index / instancesPerRegion) === region;
      if (isDomain || instancesPerRegion === 1) return isInRegion;
      return index % instancesPerRegion !== spared;
    });
}

/** Faults of one kind, of which there is one in each interval. */
interface RecurringFault {
  /** Source of the faults and of their times, which no other fault draws from. */
  readonly random: Random;
  readonly intervalMs: number;
  readonly durationMs: number;
  /** Latest end of a fault, in milliseconds from the start of the traffic. */
  readonly endMs: number;
}

/** Plans one fault at a random time in each interval. */
function planRecurring(
  { durationMs, endMs, intervalMs, random }: RecurringFault,
  drawFault: () => Fault,
): readonly PlannedFault[] {
  const count = Math.floor((endMs - FAULT_FREE_START_MS) / intervalMs) + 1;
  return Array.from({ length: count }, (_, interval) => {
    const fault = drawFault();
    const spareMs = intervalMs - durationMs;
    const atMs = FAULT_FREE_START_MS + interval * intervalMs +
      Math.round(random.nextFloat() * spareMs);
    return { fault, atMs, durationMs };
  }).filter(({ atMs }) => atMs + durationMs <= endMs);
}

/** Draws a fault of any server. */
function drawServerFault(
  what: ServerFaultKind,
  { random, servers }: { readonly random: Random; readonly servers: number },
): Fault {
  return { kind: "server", what, index: drawIndex(servers, random) };
}

function drawIndex(count: number, random: Random): number {
  return Math.floor(random.nextFloat() * count);
}

/** Plans sound servers that fall silent. */
function planSilences(
  { seed, servers }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(seed, SEED_SPREAD) ^ 3);
  return planRecurring({
    random,
    intervalMs: SILENCE_INTERVAL_MS,
    durationMs: SILENT_MS,
    endMs,
  }, () => ({
    kind: "link",
    to: "server",
    index: drawIndex(servers, random),
    mode: "hold",
  }));
}

/** Plans restarts of servers and overwritten entries. */
function planEntryFaults(
  { seed, servers }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed ^ 1);
  const plan = (what: "restart" | "overwrite", durationMs: number) =>
    planRecurring({
      random,
      intervalMs: ENTRY_FAULT_INTERVAL_MS,
      durationMs,
      endMs,
    }, () => drawServerFault(what, { random, servers }));
  return [...plan("restart", 0), ...plan("overwrite", OVERWRITTEN_MS)];
}

/** Plans shutdowns of all home regions. */
function planHomeStops(
  { seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  return planRecurring({
    random: createRandom(~seed ^ 2),
    intervalMs: HOME_STOP_INTERVAL_MS,
    durationMs: HOME_STOP_MS,
    endMs,
  }, () => ({ kind: "homes" }));
}

/**
 * Plans calls that crash servers for the whole time: a late run can be observed only while such
 * calls still arrive.
 */
function planCrashingCalls(endMs: number): readonly PlannedFault[] {
  return (["ending", "ending-part"] as const).map((what) => ({
    fault: { kind: "ending-calls", what },
    atMs: FAULT_FREE_START_MS,
    durationMs: endMs - FAULT_FREE_START_MS,
  }));
}

/** Plans which servers ask for a cool-down or advertise that they are leaving. */
function planAdvertisements(
  { seed, servers }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed ^ 4);
  const plan = (what: "rest" | "say-leaving") =>
    planRecurring({
      random,
      intervalMs: ADVERTISEMENT_INTERVAL_MS,
      durationMs: ADVERTISEMENT_MS,
      endMs,
    }, () => drawServerFault(what, { random, servers }));
  return [...plan("rest"), ...plan("say-leaving")];
}

/** Plans servers that have one fault in each interval. */
function planServerFaults(
  { seed, servers }: PlanParts,
  endMs: number,
  { durationMs, intervalMs, salt, what }: RecurringServerFault,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(seed, SEED_SPREAD) ^ salt);
  return planRecurring(
    { random, intervalMs, durationMs, endMs },
    () => drawServerFault(what, { random, servers }),
  );
}

/** Plans restores of the store from backups. */
function planRestores(
  { seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  return planRecurring({
    random: createRandom(Math.imul(seed, SEED_SPREAD) ^ 1),
    intervalMs: RESTORE_INTERVAL_MS,
    durationMs: RESTORE_MS,
    endMs,
  }, () => ({ kind: "store", what: "restore" }));
}

/** Plans crowds. */
function planCrowds(
  { instances, seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed);
  return planRecurring({
    random,
    intervalMs: CROWD_INTERVAL_MS,
    durationMs: CROWD_MS,
    endMs,
  }, () => ({ kind: "crowd", index: drawIndex(instances, random) }));
}

function pickFault(
  { instances, servers }: PlanParts,
  random: Random,
): Fault {
  const pick = <T>(items: readonly T[]): T => pickRandom(items, random)!;
  const pickIndex = (count: number) => drawIndex(count, random);
  const kind = pick(KINDS);
  switch (kind) {
    case "instance":
      return {
        kind,
        what: pick(INSTANCE_FAULTS),
        index: pickIndex(instances),
      };
    case "link": {
      const to = pick(LINK_TARGETS);
      const index = pickIndex(to === "store" ? instances : servers);
      return { kind, to, index, mode: pick(LINK_MODES) };
    }
    case "server":
      return {
        kind,
        what: pick(SERVER_FAULTS),
        index: pickIndex(servers),
      };
    case "store":
      return { kind, what: pick(STORE_FAULTS) };
    case "operator":
      return { kind, what: pick(OPERATOR_CHANGES) };
  }
}

function pickBetween(
  { min, max }: { readonly min: number; readonly max: number },
  random: Random,
): number {
  return Math.round(min + random.nextFloat() * (max - min));
}
