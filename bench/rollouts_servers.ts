import type { Random } from "../clock/mod.ts";
import { type RegionId, type ServerVersion, toBackendId } from "../ids/mod.ts";
import type { SendOutcome, VersionedServer } from "../rollouts/mod.ts";

/** How a version is bad. */
export type BadKind =
  | "good"
  | "fails-30%"
  | "fails-15%"
  | "truncates-25%"
  | "slow-3x"
  | "slow-4x-part"
  | "fails-later"
  | "slow-later"
  | "fails-under-load"
  | "fails-common-route"
  | "fails-rarest-route"
  | "slow-rarest-route"
  | "gaps-4x";

/** What disturbs a run besides the version. */
export type Fault =
  | "none"
  | "new-server-crashes"
  | "old-server-crashes"
  | "new-server-fails"
  | "new-server-slow"
  | "responses-lost"
  | "reports-lost"
  | "store-down"
  | "instances-restart"
  | "all-restart"
  | "region-cut";

/** Routes by their share of the calls, the rarest last. */
export const ROUTES: readonly {
  readonly name: string;
  readonly share: number;
  readonly firstByteMs: number;
  readonly gapMs: number | undefined;
}[] = [
  { name: "classify", share: 0.38, firstByteMs: 90, gapMs: undefined },
  { name: "short", share: 0.34, firstByteMs: 120, gapMs: 40 },
  { name: "long", share: 0.24, firstByteMs: 320, gapMs: 40 },
  { name: "rare", share: 0.04, firstByteMs: 60, gapMs: undefined },
];

const RAREST = ROUTES.length - 1;
const SPEEDS = [0.6, 1, 1.6];
/** Deviation of the logarithm of durations of equal calls. */
const DEVIATION = 0.4;
/** Responses of a server that pay for an empty prompt cache, and by how much. */
const COLD_CACHE_RESPONSES = 8;
const COLD_CACHE_FACTOR = 1.8;
const WARM_UP_MS = 3_000;
/** Calls a second that a cold server takes. */
const WARM_UP_RATE = 1.8;
const REPLACED_AFTER_MS = 2_000;
const CRASH_FAILURE_MS = 5;

/** One simulated server. */
export interface SimServer {
  entry: VersionedServer;
  readonly speed: number;
  inFlight: number;
  responses: number;
  lastColdMs: number;
  downUntilMs: number;
  readonly isFaulty: boolean;
}

/** Simulated servers of one service, in which versions are bad in a given way. */
export class SimServers {
  readonly servers: SimServer[] = [];
  readonly #random: Random;
  readonly #kind: BadKind;
  readonly #fault: Fault;
  /** When faults that show later begin, in milliseconds after the order. */
  readonly #laterMs: number;
  /** Calls in flight from which faults under load show. */
  readonly #loadLimit: number;
  #orderMs = 0;

  constructor(
    parts: {
      random: Random;
      kind: BadKind;
      fault: Fault;
      usualInFlight: number;
    },
  ) {
    this.#random = parts.random;
    this.#kind = parts.kind;
    this.#fault = parts.fault;
    this.#laterMs = 1_500 + 3_000 * parts.random.nextFloat();
    this.#loadLimit = Math.max(1, 0.7 * parts.usualInFlight);
  }

  /** Registers servers of a version; cold ones take few calls at first. */
  start(
    version: ServerVersion,
    regions: readonly RegionId[],
    perRegion: number,
    nowMs: number,
    isCold: boolean,
  ): void {
    const first = this.servers.length;
    regions.forEach((region, at) => {
      for (let index = 0; index < perRegion; index++) {
        const isFirst = at === 0 && index === 0;
        this.servers.push({
          entry: {
            id: toBackendId(`${version}-${region}-${first}-${index}`),
            service: "app",
            region,
            version,
            isReady: true,
            coldUntilMs: isCold ? nowMs + WARM_UP_MS : 0,
          },
          speed: SPEEDS[(index + at) % SPEEDS.length]!,
          inFlight: 0,
          responses: isCold ? 0 : COLD_CACHE_RESPONSES,
          lastColdMs: -Infinity,
          downUntilMs: -Infinity,
          isFaulty: isFirst,
        });
      }
    });
    if (isCold) this.#orderMs = nowMs;
  }

  /** Crashes one server of a version; it is gone from the registry until it is replaced. */
  crash(version: ServerVersion, nowMs: number): void {
    const all = this.servers.filter(({ entry }) => entry.version === version);
    const server = all[Math.floor(this.#random.nextFloat() * all.length)]!;
    server.downUntilMs = nowMs + REPLACED_AFTER_MS;
  }

  /** Returns whether a server accepts one more call. */
  hasCapacity({ entry, lastColdMs }: SimServer, nowMs: number): boolean {
    return entry.coldUntilMs <= nowMs ||
      nowMs - lastColdMs >= 1_000 / WARM_UP_RATE;
  }

  /** Runs one call: how long it takes and how it ends. */
  run(
    server: SimServer,
    routeIndex: number,
    nowMs: number,
    isNew: boolean,
  ): { readonly durationMs: number; readonly outcome: SendOutcome } {
    const route = ROUTES[routeIndex]!;
    if (server.downUntilMs > nowMs) {
      return { durationMs: CRASH_FAILURE_MS, outcome: { kind: "failed" } };
    }
    server.lastColdMs = nowMs;
    const isBad = isNew && this.#isBad(server, routeIndex, nowMs);
    const isCold = server.responses++ < COLD_CACHE_RESPONSES;
    let firstByteMs = route.firstByteMs / server.speed *
      (isCold ? COLD_CACHE_FACTOR : 1) * this.#noise() *
      (1 + 0.02 * server.inFlight);
    let gapMs = route.gapMs === undefined
      ? undefined
      : route.gapMs / server.speed * this.#noise();
    const isSlowFault = isNew && server.isFaulty &&
      this.#fault === "new-server-slow";
    if (isSlowFault || (isBad && this.#kind.startsWith("slow"))) {
      firstByteMs *= this.#kind === "slow-4x-part" ? 4 : 3;
    }
    if (isBad && this.#kind === "gaps-4x" && gapMs !== undefined) gapMs *= 4;
    const fails = (isBad && /fails|truncates/.test(this.#kind)) ||
      (isNew && server.isFaulty && this.#fault === "new-server-fails" &&
        this.#random.nextFloat() < 0.3) ||
      (this.#fault === "responses-lost" && this.#random.nextFloat() < 0.03);
    const durationMs = firstByteMs + (gapMs ?? 0) * 6;
    return {
      durationMs,
      outcome: fails ? { kind: "failed" } : {
        kind: "answered",
        firstByteMs,
        ...(gapMs === undefined ? {} : { longestGapMs: gapMs }),
      },
    };
  }

  /** Returns whether this response shows the version's fault. */
  #isBad(server: SimServer, route: number, nowMs: number): boolean {
    const sinceMs = nowMs - this.#orderMs;
    const chance = (share: number) => this.#random.nextFloat() < share;
    switch (this.#kind) {
      case "good":
        return false;
      case "fails-30%":
      case "slow-4x-part":
        return chance(0.3);
      case "fails-15%":
        return chance(0.15);
      case "truncates-25%":
        return chance(0.25);
      case "slow-3x":
      case "gaps-4x":
        return true;
      case "fails-later":
        return sinceMs > this.#laterMs && chance(0.3);
      case "slow-later":
        return sinceMs > this.#laterMs;
      case "fails-under-load":
        return server.inFlight >= this.#loadLimit && chance(0.5);
      case "fails-common-route":
        return route === 0 && chance(0.4);
      case "fails-rarest-route":
        return route === RAREST && chance(0.6);
      case "slow-rarest-route":
        return route === RAREST;
    }
  }

  #noise(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.nextFloat()));
    const angle = 2 * Math.PI * this.#random.nextFloat();
    return Math.exp(DEVIATION * radius * Math.cos(angle));
  }
}
