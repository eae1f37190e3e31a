import type { LoadTracker } from "../fleet/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import type { LearnedServers } from "./learned_servers.ts";
import type { UsableServers } from "./server_versions.ts";

/** What a {@linkcode ServerReachability} is created from. */
export interface ServerReachabilityParts {
  readonly ownRegion: RegionId;
  /** Servers that any call may be sent to. */
  readonly registry: UsableServers;
  readonly loads: LoadTracker;
  readonly learned: LearnedServers;
}

/**
 * Tells which servers of the local region fail for this instance, and whether that is more
 * likely due to its own links: an instance that reaches none of the servers may have
 * neighbours that do.
 */
export class ServerReachability {
  readonly #parts: ServerReachabilityParts;

  /** @param parts Registered servers, their loads, and what was learned of them. */
  constructor(parts: ServerReachabilityParts) {
    this.#parts = parts;
  }

  /** Returns whether a server is silent although it has calls of this instance. */
  isSilent(service: string, server: BackendId, nowMs: number): boolean {
    const { learned: { liveness, speeds }, loads } = this.#parts;
    const { pendingTokens } = loads.readTotal(server);
    const estimateMs = speeds.estimateMs(server, service, pendingTokens);
    return liveness.isSilent(server, estimateMs, nowMs);
  }

  /**
   * Returns whether calls of this instance to a server would probably fail now: it can open
   * no connection to it, has suspended it, or gets nothing from it.
   */
  isFailing(service: string, server: BackendId, nowMs: number): boolean {
    const { health, links } = this.#parts.learned;
    return links.isUnreachable(server) || health.isSuspended(server, nowMs) ||
      this.isSilent(service, server, nowMs);
  }

  /** Returns whether all servers of a service in the local region fail for this instance. */
  isServiceLost(service: string, nowMs: number): boolean {
    const { ownRegion, registry } = this.#parts;
    const servers = registry.listUsable(service, ownRegion);
    return servers.length > 0 &&
      servers.every(({ entry: { id } }) => this.isFailing(service, id, nowMs));
  }

  /** Returns the services whose servers in the local region all fail for this instance. */
  listLostServices(nowMs: number): readonly string[] {
    return this.#listServices()
      .filter((service) => this.isServiceLost(service, nowMs));
  }

  /** Returns whether all servers of the local region, of every service, fail for this instance. */
  isCutOff(nowMs: number): boolean {
    const services = this.#listServices();
    return services.length > 0 &&
      services.every((service) => this.isServiceLost(service, nowMs));
  }

  /** Returns the services that have usable servers in the local region. */
  #listServices(): readonly string[] {
    return this.#parts.registry.listUsableServices(this.#parts.ownRegion);
  }
}
