import { createRandom, pickRandom, type Random } from "../clock/mod.ts";
import type { LinkMode } from "./link_proxy.ts";

/** What the parts of a fleet are disturbed by. */
export type Fault =
  | {
    readonly kind: "instance";
    readonly what: "kill" | "pause" | "stop" | "reload";
    readonly index: number;
  }
  /** Many callers connect to an instance that stands still, and leave before it goes on. */
  | { readonly kind: "crowd"; readonly index: number }
  /** All instances of the regions that are homes are stopped at once, and stay away for a while. */
  | { readonly kind: "homes" }
  /** A call under which servers end comes again and again, at any instance. */
  | { readonly kind: "ending-call" }
  | {
    readonly kind: "link";
    /** Whose calls the link carries: of an instance to the store, or of all to a server. */
    readonly to: "store" | "server";
    readonly index: number;
    readonly mode: Exclude<LinkMode, "pass">;
  }
  | {
    readonly kind: "server";
    readonly what:
      | "crash"
      | "hang"
      | "fail"
      | "break-off"
      | "drain"
      /** It starts again under its name. */
      | "restart"
      /** Another writer overwrites its entry. */
      | "overwrite"
      /** It turns calls away and asks for rest. */
      | "rest"
      /** Its answers say that it leaves, and nothing else does. */
      | "say-leaving"
      /** Its answers name a limit of calls a second. */
      | "limit";
    readonly index: number;
  }
  | {
    readonly kind: "store";
    readonly what:
      | "down"
      | "slow"
      | "forget"
      /** It is away and comes back from a copy of the beginning of the fault. */
      | "restore";
  }
  | { readonly kind: "operator"; readonly what: "configure" | "evacuate" };

/** A fault with its time. */
export interface PlannedFault {
  readonly fault: Fault;
  /** When it begins, from the start of traffic, in milliseconds. */
  readonly atMs: number;
  /** How long it lasts, in milliseconds. */
  readonly forMs: number;
}

/** What a plan is made for. */
export interface PlanParts {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly servers: number;
}

const KINDS = ["instance", "link", "server", "store", "operator"] as const;
const INSTANCE_FAULTS = ["kill", "pause", "stop", "reload"] as const;
const LINK_ENDS = ["store", "server"] as const;
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

/** Calm at the start, so that every process serves before the first fault. */
const CALM_START_MS = 1_500;
/**
 * Calm at the end, in milliseconds: instances that lost the store count as in
 * touch again after 5 s, and servers that were silent are tried again after 4 s.
 */
export const CALM_END_MS = 9_000;
/** One crowd in so much time, in milliseconds. */
const CROWD_EVERY_MS = 6_000;
/** How long a crowd's instance stands still, in milliseconds: its callers leave in the middle. */
const CROWD_MS = 2_000;
/** One restart and one overwritten entry of servers in so much time, in milliseconds. */
const START_EVERY_MS = 10_000;
/** How long an overwritten entry stays, in milliseconds: longer than servers that left may get calls. */
const OVERWRITTEN_MS = 8_000;
/** One stop of all homes in so much time, in milliseconds: two, since a part of them is often disturbed already. */
const HOMES_EVERY_MS = 5_000;
/** How long the homes stay away once their instances have ended, in milliseconds: callers ask their directories a few times. */
const HOMES_MS = 2_000;
/** One server that asks for rest, and one that says that it leaves, in so much time, in milliseconds. */
const WORD_EVERY_MS = 7_000;
/** How long these last, in milliseconds: longer than the rest that is asked for. */
const WORD_MS = 4_000;
/** One server that names a limit in so much time, in milliseconds. */
const LIMIT_EVERY_MS = 7_000;
/** How long it does, in milliseconds: longer than the span in which its calls are counted. */
const LIMIT_MS = 5_500;
/** One return of the store from a copy in so much time, in milliseconds. */
const RESTORE_EVERY_MS = 7_000;
/** How long what the store takes in is lost by it, in milliseconds. */
const RESTORE_MS = 3_000;
const PAUSE_MS = { least: 300, most: 1_500 };
const DURATION_MS = { least: 300, most: 4_000 };

/** Factor that keeps the first numbers of seeds that follow each other apart: an odd number of 32 bits. */
const SEED_SPREAD = 0x9e3779b1;

/** Returns the faults of a seed, the same each time. */
export function createPlan(parts: PlanParts): readonly PlannedFault[] {
  const random = createRandom(parts.seed);
  const endMs = 1_000 * parts.seconds - CALM_END_MS;
  const faults: PlannedFault[] = [];
  let atMs = CALM_START_MS;
  while (atMs < endMs) {
    const forMs = Math.min(endMs - atMs, pickBetween(DURATION_MS, random));
    faults.push({ fault: pickFault(parts, random), atMs, forMs });
    atMs += pickBetween(PAUSE_MS, random);
  }
  return [
    ...faults,
    ...planCrowds(parts, endMs),
    ...planServerStarts(parts, endMs),
    ...planHomeStops(parts, endMs),
    ...planEndingCalls(endMs),
    ...planWords(parts, endMs),
    ...planLimits(parts, endMs),
    ...planRestores(parts, endMs),
  ];
}

/** Plans what befalls the entries of servers, from numbers of their own as crowds are. */
function planServerStarts(
  { seed, servers }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed ^ 1);
  const count = Math.floor((endMs - CALM_START_MS) / START_EVERY_MS) + 1;
  const plan = (what: "restart" | "overwrite", forMs: number) =>
    Array.from({ length: count }, (_, turn) => ({
      fault: {
        kind: "server" as const,
        what,
        index: Math.floor(random.nextFloat() * servers),
      },
      atMs: CALM_START_MS + turn * START_EVERY_MS +
        Math.round(random.nextFloat() * (START_EVERY_MS - forMs)),
      forMs,
    }));
  return [...plan("restart", 0), ...plan("overwrite", OVERWRITTEN_MS)]
    .filter(({ atMs, forMs }) => atMs + forMs <= endMs);
}

/** Plans stops of all homes, from numbers of their own as crowds are. */
function planHomeStops(
  { seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed ^ 2);
  const count = Math.floor((endMs - CALM_START_MS) / HOMES_EVERY_MS) + 1;
  return Array.from({ length: count }, (_, turn) => ({
    fault: { kind: "homes" as const },
    atMs: CALM_START_MS + turn * HOMES_EVERY_MS +
      Math.round(random.nextFloat() * (HOMES_EVERY_MS - HOMES_MS)),
    forMs: HOMES_MS,
  })).filter(({ atMs, forMs }) => atMs + forMs <= endMs);
}

/** A late run of a call under which servers end can be seen only while it still comes. */
function planEndingCalls(endMs: number): readonly PlannedFault[] {
  const fault = { kind: "ending-call" } as const;
  return [{ fault, atMs: CALM_START_MS, forMs: endMs - CALM_START_MS }];
}

/** Plans what servers say of themselves, from numbers of their own as crowds are. */
function planWords(
  { seed, servers }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed ^ 4);
  const count = Math.floor((endMs - CALM_START_MS) / WORD_EVERY_MS) + 1;
  const plan = (what: "rest" | "say-leaving") =>
    Array.from({ length: count }, (_, turn) => ({
      fault: {
        kind: "server" as const,
        what,
        index: Math.floor(random.nextFloat() * servers),
      },
      atMs: CALM_START_MS + turn * WORD_EVERY_MS +
        Math.round(random.nextFloat() * (WORD_EVERY_MS - WORD_MS)),
      forMs: WORD_MS,
    }));
  return [...plan("rest"), ...plan("say-leaving")]
    .filter(({ atMs, forMs }) => atMs + forMs <= endMs);
}

/** Plans which servers name limits, from numbers of their own as crowds are. */
function planLimits(
  { seed, servers }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(seed, SEED_SPREAD));
  const count = Math.floor((endMs - CALM_START_MS) / LIMIT_EVERY_MS) + 1;
  return Array.from({ length: count }, (_, turn) => ({
    fault: {
      kind: "server" as const,
      what: "limit" as const,
      index: Math.floor(random.nextFloat() * servers),
    },
    atMs: CALM_START_MS + turn * LIMIT_EVERY_MS +
      Math.round(random.nextFloat() * (LIMIT_EVERY_MS - LIMIT_MS)),
    forMs: LIMIT_MS,
  })).filter(({ atMs, forMs }) => atMs + forMs <= endMs);
}

/** Plans returns of the store from older copies, from numbers of their own as crowds are. */
function planRestores(
  { seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(Math.imul(seed, SEED_SPREAD) ^ 1);
  const count = Math.floor((endMs - CALM_START_MS) / RESTORE_EVERY_MS) + 1;
  return Array.from({ length: count }, (_, turn) => ({
    fault: { kind: "store" as const, what: "restore" as const },
    atMs: CALM_START_MS + turn * RESTORE_EVERY_MS +
      Math.round(random.nextFloat() * (RESTORE_EVERY_MS - RESTORE_MS)),
    forMs: RESTORE_MS,
  })).filter(({ atMs, forMs }) => atMs + forMs <= endMs);
}

/** Plans crowds from numbers of their own: the other faults of a seed stay as they were. */
function planCrowds(
  { instances, seed }: PlanParts,
  endMs: number,
): readonly PlannedFault[] {
  const random = createRandom(~seed);
  const count = Math.floor((endMs - CALM_START_MS) / CROWD_EVERY_MS) + 1;
  return Array.from({ length: count }, (_, turn) => ({
    fault: {
      kind: "crowd" as const,
      index: Math.floor(random.nextFloat() * instances),
    },
    atMs: CALM_START_MS + turn * CROWD_EVERY_MS +
      Math.round(random.nextFloat() * (CROWD_EVERY_MS - CROWD_MS)),
    forMs: CROWD_MS,
  })).filter(({ atMs, forMs }) => atMs + forMs <= endMs);
}

/** Returns a fault in one line. */
export function formatFault({ fault, atMs, forMs }: PlannedFault): string {
  const { kind, ...rest } = fault;
  return `${atMs} ms, for ${forMs} ms: ${kind} ${
    Object.values(rest).join(" ")
  }`;
}

function pickFault(
  { instances, servers }: PlanParts,
  random: Random,
): Fault {
  const pick = <T>(items: readonly T[]): T => pickRandom(items, random)!;
  const pickIndex = (count: number) => Math.floor(random.nextFloat() * count);
  const kind = pick(KINDS);
  switch (kind) {
    case "instance":
      return {
        kind,
        what: pick(INSTANCE_FAULTS),
        index: pickIndex(instances),
      };
    case "link": {
      const to = pick(LINK_ENDS);
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
  { least, most }: { readonly least: number; readonly most: number },
  random: Random,
): number {
  return Math.round(least + random.nextFloat() * (most - least));
}
