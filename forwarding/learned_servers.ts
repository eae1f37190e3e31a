import { PrefixQueue, type ReportedPrefix } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import { CrowdSpread } from "./crowd_spread.ts";
import type { PlacedPart } from "./prefix_memory.ts";
import { PrefixMemory } from "./prefix_memory.ts";
import { ServerHealth } from "./server_health.ts";
import { ServerLimits } from "./server_limits.ts";
import { ServerPulses } from "./server_pulses.ts";
import { ServerSpeeds } from "./server_speed.ts";
import { LimitGate, type LimitGateParts } from "./limit_gate.ts";
import { type WarmUpBounds, WarmUpGate } from "./warm_up_gate.ts";

/** Part of an engine's memory that cached parts are taken to fill, beside running calls. */
const CACHED_MEMORY_PART = 0.8;
/** Shared prompt parts that one report names at the most: it stays within one packet. */
const MAX_REPORTED_PREFIXES = 32;

/** What learning needs. */
export interface LearnedServersParts {
  /** Who shares what servers take. */
  readonly fleet: LimitGateParts["fleet"];
  /** What cold servers bear. */
  readonly warmUpBounds: WarmUpBounds;
  /** Returns how many tokens an engine's memory holds. Default: none. */
  readonly readMemoryTokens?: (server: BackendId) => number;
}

/**
 * What this instance has learned of backend servers: speed, health, what their
 * memory holds, and how much cold ones were given.
 */
export class LearnedServers {
  readonly speeds = new ServerSpeeds();
  readonly health = new ServerHealth();
  readonly pulses = new ServerPulses();
  readonly limits = new ServerLimits();
  readonly prefixes = new PrefixMemory();
  readonly crowd = new CrowdSpread();
  readonly warmUp: WarmUpGate;
  readonly limitGate: LimitGate;
  readonly #readMemoryTokens: (server: BackendId) => number;
  #unsharedCount = 0;
  readonly #unreported = new PrefixQueue(MAX_REPORTED_PREFIXES);

  /** @param parts What is known of members, and of engines from the configuration. */
  constructor(parts: LearnedServersParts) {
    const { fleet, readMemoryTokens, warmUpBounds: bounds } = parts;
    this.warmUp = new WarmUpGate({ fleet, bounds });
    this.limitGate = new LimitGate({ fleet, limits: this.limits });
    this.#readMemoryTokens = readMemoryTokens ?? (() => 0);
  }

  /**
   * Records the prompt parts that an engine was just sent, for the choice of
   * later calls and for the next report.
   *
   * @param server Where.
   * @param parts What it reads or uses.
   */
  recordSent(server: BackendId, parts: readonly PlacedPart[]): void {
    const sent = parts.map(({ key, isShared, tokens }) => ({
      server,
      part: isShared ? key : undefined,
      tokens,
    }));
    parts.forEach((part) => this.#learnPart(server, part));
    this.#unreported.add(sent);
  }

  /** Takes prompt parts that engines are known to hold. */
  learnPrefixes(prefixes: readonly ReportedPrefix[]): void {
    prefixes.forEach(({ server, part, tokens }) =>
      this.#learnPart(server, {
        key: part ?? `unshared ${this.#unsharedCount++}`,
        tokens,
      })
    );
  }

  /** Returns the prompt parts sent since the last call, for the next report. */
  takeUnreported(): readonly ReportedPrefix[] {
    return this.#unreported.take(MAX_REPORTED_PREFIXES);
  }

  #learnPart(
    server: BackendId,
    part: Pick<PlacedPart, "key" | "tokens">,
  ): void {
    const capacityTokens = CACHED_MEMORY_PART * this.#readMemoryTokens(server);
    this.prefixes.record(server, part, capacityTokens);
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    const { health, limitGate, limits, prefixes, pulses, speeds, warmUp } =
      this;
    [speeds, health, pulses, limits, limitGate, prefixes, warmUp]
      .forEach((each) => each.keepOnly(servers));
  }
}
