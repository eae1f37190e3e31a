import { PrefixQueue, type ReportedPrefix } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import { CostJitter } from "./cost_jitter.ts";
import type { KeyedPart } from "./prefix_cache_model.ts";
import { PrefixCacheModel } from "./prefix_cache_model.ts";
import { ServerHealth } from "./server_health.ts";
import { ServerLimits } from "./server_limits.ts";
import { ServerLinks } from "./server_links.ts";
import { ServerLiveness } from "./server_liveness.ts";
import { ServerSpeeds } from "./server_speeds.ts";
import { LimitGate, type LimitGateParts } from "./limit_gate.ts";
import { RejectionGate } from "./rejection_gate.ts";
import { type WarmUpBounds, WarmUpGate } from "./warm_up_gate.ts";

/** Fraction of an engine's memory that cached prompt parts are assumed to fill, beside running calls. */
const CACHED_MEMORY_FRACTION = 0.8;
/** Maximum number of prompt parts in one report, so that the report fits into one packet. */
const MAX_REPORTED_PREFIXES = 32;

/** What a `LearnedServers` is created from. */
export interface LearnedServersParts {
  /** The instances that share the rates of servers. */
  readonly fleet: LimitGateParts["fleet"];
  /** Call rate that cold servers may get from all instances together. */
  readonly warmUpBounds: WarmUpBounds;
  /** Returns how many tokens an engine's memory holds. Default: none. */
  readonly readMemoryTokens?: (server: BackendId) => number;
}

/**
 * What this instance has learned of backend servers: their speed, health, liveness and
 * rate limits, whether connections to them open, how many rejections they tolerate, the
 * prompt parts that they have cached, and the calls sent to servers that are cold or limited.
 */
export class LearnedServers {
  readonly speeds = new ServerSpeeds();
  readonly health = new ServerHealth();
  readonly liveness = new ServerLiveness();
  readonly limits = new ServerLimits();
  readonly links = new ServerLinks();
  readonly prefixes = new PrefixCacheModel();
  readonly costJitter = new CostJitter();
  readonly warmUp: WarmUpGate;
  readonly limitGate: LimitGate;
  readonly rejectionGate: RejectionGate;
  readonly #readMemoryTokens: (server: BackendId) => number;
  #unsharedCount = 0;
  readonly #unreported = new PrefixQueue(MAX_REPORTED_PREFIXES);

  /** @param parts The members of the region, and settings of cold servers and engines. */
  constructor(parts: LearnedServersParts) {
    const { fleet, readMemoryTokens, warmUpBounds: bounds } = parts;
    this.warmUp = new WarmUpGate({ fleet, bounds });
    this.limitGate = new LimitGate({ fleet, limits: this.limits });
    this.rejectionGate = new RejectionGate({ fleet });
    this.#readMemoryTokens = readMemoryTokens ?? (() => 0);
  }

  /**
   * Records the prompt parts that an engine was just sent, for the choice of the
   * servers of later calls and for the next report.
   *
   * @param server The engine.
   * @param parts The prompt parts that it prefills or finds in its cache.
   */
  recordSent(server: BackendId, parts: readonly KeyedPart[]): void {
    const sent = parts.map(({ key, isShared, tokens }) => ({
      server,
      part: isShared ? key : undefined,
      tokens,
    }));
    parts.forEach((part) => this.#learnPart(server, part));
    this.#unreported.add(sent);
  }

  /** Records prompt parts that engines are reported to have cached. */
  recordPrefixes(prefixes: readonly ReportedPrefix[]): void {
    prefixes.forEach(({ server, part, tokens }) =>
      this.#learnPart(server, {
        key: part ?? `unshared ${this.#unsharedCount++}`,
        tokens,
      })
    );
  }

  /** Returns the prompt parts that no report included yet, for the next one, and removes them. */
  takeUnreported(): readonly ReportedPrefix[] {
    return this.#unreported.take(MAX_REPORTED_PREFIXES);
  }

  #learnPart(
    server: BackendId,
    part: Pick<KeyedPart, "key" | "tokens">,
  ): void {
    const capacityTokens = CACHED_MEMORY_FRACTION *
      this.#readMemoryTokens(server);
    this.prefixes.record(server, part, capacityTokens);
  }

  /** Removes what is known of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    const {
      health,
      limitGate,
      limits,
      links,
      prefixes,
      liveness,
      rejectionGate,
      speeds,
      warmUp,
    } = this;
    [
      speeds,
      health,
      liveness,
      limits,
      limitGate,
      links,
      prefixes,
      rejectionGate,
      warmUp,
    ]
      .forEach((each) => each.keepOnly(servers));
  }
}
