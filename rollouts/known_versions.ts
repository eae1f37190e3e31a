import type { BackendId, RegionId, ServerVersion } from "../ids/mod.ts";
import type { VersionedServer } from "./rollout_types.ts";

/** Time in which the versions that are seen first count as active, in milliseconds. */
export const FIRST_VERSIONS_MS = 2_000;
/**
 * Time for which no server of an active version must be registered before others take
 * their place, in milliseconds: a full read of the store may be incomplete for a moment.
 */
const GONE_MS = 2_000;

/** Registered servers of one service, and the versions that are active without a record. */
export class KnownVersions {
  #servers: readonly VersionedServer[] = [];
  #byId: ReadonlyMap<BackendId, VersionedServer> = new Map();
  readonly #firstVersions = new Set<ServerVersion>();
  #firstSeenMs: number | undefined;
  #goneSinceMs: number | undefined;

  /** All registered servers. */
  get servers(): readonly VersionedServer[] {
    return this.#servers;
  }

  /** Versions seen in the first seconds; an ordered one may be among them. */
  get firstVersions(): readonly ServerVersion[] {
    return [...this.#firstVersions].sort();
  }

  /** Replaces the registered servers. */
  replace(servers: readonly VersionedServer[], nowMs: number): void {
    this.#servers = servers;
    this.#byId = new Map(servers.map((server) => [server.id, server]));
    if (servers.length > 0) this.#firstSeenMs ??= nowMs;
    if (this.isSettling(nowMs)) {
      servers.forEach(({ version }) => this.#firstVersions.add(version));
    }
  }

  /** Returns a registered server. */
  find(id: BackendId): VersionedServer | undefined {
    return this.#byId.get(id);
  }

  /** Returns whether servers have not been known for long enough to tell the first versions. */
  isSettling(nowMs: number): boolean {
    return this.#firstSeenMs === undefined ||
      nowMs - this.#firstSeenMs < FIRST_VERSIONS_MS;
  }

  /** Returns the servers of a version that may get calls in a region. */
  listReady(
    version: ServerVersion,
    region: RegionId,
  ): readonly VersionedServer[] {
    return this.#servers.filter((server) =>
      server.isReady && server.version === version && server.region === region
    );
  }

  /** Returns how many servers of a version are registered. */
  countServers(version: ServerVersion): number {
    return this.#servers.filter((server) => server.version === version).length;
  }

  /** Returns whether servers are registered, and none of these versions for a while. */
  areGone(versions: readonly ServerVersion[], nowMs: number): boolean {
    const hasAny = this.#servers.length === 0 ||
      this.#servers.some(({ version }) => versions.includes(version));
    if (hasAny) {
      this.#goneSinceMs = undefined;
      return false;
    }
    this.#goneSinceMs ??= nowMs;
    return nowMs - this.#goneSinceMs >= GONE_MS;
  }
}
