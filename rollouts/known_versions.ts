import type { BackendId, RegionId, ServerVersion } from "../ids/mod.ts";
import type { VersionedServer } from "./rollout_types.ts";

/** Time until the versions that are active without a record can be told, in milliseconds. */
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
  /** Versions of the first read that has servers. */
  readonly #firstVersions = new Set<ServerVersion>();
  /** Versions that were registered beside these until the versions can be told. */
  readonly #nextVersions = new Set<ServerVersion>();
  #firstSeenMs: number | undefined;
  #goneSinceMs: number | undefined;

  /** All registered servers. */
  get servers(): readonly VersionedServer[] {
    return this.#servers;
  }

  /**
   * Returns the versions that are active without a record. One that is registered beside them
   * needs an order, but the ordered one may have been seen before the others.
   *
   * @param ordered Version that an order names; `undefined`: there is none.
   */
  listFirst(ordered: ServerVersion | undefined): readonly ServerVersion[] {
    const first = [...this.#firstVersions].sort();
    return [first, [...this.#nextVersions].sort()]
      .map((group) => group.filter((version) => version !== ordered))
      .find((group) => group.length > 0) ?? first;
  }

  /** Replaces the registered servers. */
  replace(servers: readonly VersionedServer[], nowMs: number): void {
    this.#servers = servers;
    this.#byId = new Map(servers.map((server) => [server.id, server]));
    if (servers.length === 0 || !this.isSettling(nowMs)) return;
    const versions = this.#firstSeenMs === undefined
      ? this.#firstVersions
      : this.#nextVersions;
    this.#firstSeenMs ??= nowMs;
    servers.forEach(({ version }) => versions.add(version));
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
