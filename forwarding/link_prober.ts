import type { Clock } from "../clock/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { KnownServer } from "../servers/mod.ts";
import type { LearnedServers } from "./learned_servers.ts";
import type { ServerReachability } from "./server_reachability.ts";
import type { ServerVersions } from "./server_versions.ts";

/**
 * Share of the region's servers that fail from which the others are probed too: it may be
 * this instance that fails, and calls would find out one server after the other.
 */
const SUSPICIOUS_SHARE = 0.5;

/** Opens a connection to the server at an address, closes it, and returns whether that worked. */
export type ProbeServer = (address: string) => Promise<boolean>;

/** What a {@linkcode LinkProber} is created from. */
export interface LinkProberParts {
  readonly clock: Clock;
  readonly ownRegion: RegionId;
  /** Servers that any call may be sent to. */
  readonly registry: Pick<
    ServerVersions,
    "find" | "listUsable" | "listUsableServices" | "mayServe"
  >;
  readonly learned: LearnedServers;
  readonly reachability: ServerReachability;
  readonly probeServer: ProbeServer;
  readonly logger: Logger;
}

/**
 * Probes servers that this instance may not reach, so that their state is known without
 * calls that fail.
 */
export class LinkProber {
  readonly #parts: LinkProberParts;

  /** @param parts Servers, what was learned of them, and how to probe them. */
  constructor(parts: LinkProberParts) {
    this.#parts = parts;
  }

  /** Probes the servers that are due. Called periodically. */
  run(): void {
    const { clock, learned: { links } } = this.#parts;
    const nowMs = clock.nowMs();
    this.#suspectServers(nowMs);
    links.takeDue(nowMs).forEach((server) => void this.#probe(server));
  }

  #suspectServers(nowMs: number): void {
    const { learned: { links }, ownRegion, reachability, registry } =
      this.#parts;
    const servers = registry.listUsableServices(ownRegion)
      .flatMap((service) => registry.listUsable(service, ownRegion));
    const failing = servers.filter(({ entry: { id, service } }) =>
      reachability.isFailing(service, id, nowMs)
    );
    const isSuspicious = failing.length > 1 &&
      failing.length >= SUSPICIOUS_SHARE * servers.length;
    const suspects: readonly KnownServer[] = isSuspicious ? servers : failing;
    suspects.forEach(({ entry: { id } }) => links.suspect(id, nowMs));
  }

  async #probe(server: BackendId): Promise<void> {
    const { clock, learned: { links }, logger, probeServer, registry } =
      this.#parts;
    const known = registry.find(server);
    if (known === undefined || !registry.mayServe(known)) return;
    const { address, service } = known.entry;
    const startMs = clock.nowMs();
    const isReached = await probeServer(address);
    const nowMs = clock.nowMs();
    if (isReached) {
      if (links.recordReached(server)) {
        logger.info("server reachable again", { server, service });
      }
      return;
    }
    if (links.recordFailure(server, { nowMs, tookMs: nowMs - startMs })) {
      logger.warn("server unreachable", { server, service, by: "probe" });
    }
  }
}
