import type { BackendId, RegionId, ServerVersion } from "../ids/mod.ts";
import type {
  RolloutTracker,
  SendRecord,
  VersionAssignment,
  VersionedServer,
} from "../rollouts/mod.ts";
import type { KnownServer, ServerRegistry } from "../servers/mod.ts";
import type { Exchange } from "./exchange.ts";

/** What forwarding needs of the rollouts of services. */
export type VersionRules = Pick<
  RolloutTracker,
  "assign" | "isAllowed" | "beginSend"
>;

/** Registered servers that calls may be sent to. */
export type UsableServers = Pick<
  ServerRegistry,
  "find" | "listUsable" | "listUsableServices"
>;

/** Returns whether a call may be sent to a server. `undefined`: to each usable one. */
export type ServerFilter = ((server: KnownServer) => boolean) | undefined;

/** What {@linkcode ServerVersions} is created from. */
export interface ServerVersionsParts {
  readonly ownRegion: RegionId;
  readonly registry: UsableServers;
  /** Rollouts of services. Default: versions have no effect. */
  readonly rollouts?: VersionRules | undefined;
}

/** The properties of a call that decide which versions it may use. */
export type VersionNeeds =
  & Pick<Exchange, "isFirstSend" | "isTrial" | "promptParts">
  & {
    readonly service: { readonly name: string };
    readonly route: { readonly name: string };
    readonly progress: Pick<Exchange["progress"], "version">;
    hasDrawnVersion: boolean;
  };

/**
 * Tells which servers may get calls by their versions. As a list of servers it holds those
 * that any call may use; those of a canary are left out.
 */
export class ServerVersions implements UsableServers {
  readonly #parts: ServerVersionsParts;

  /** @param parts Registered servers, and the rollouts of services. */
  constructor(parts: ServerVersionsParts) {
    this.#parts = parts;
  }

  /** Returns a registered server, whatever its version is. */
  find(id: BackendId): KnownServer | undefined {
    return this.#parts.registry.find(id);
  }

  /** Returns the usable servers of a service in a region that any call may be sent to. */
  listUsable(service: string, region: RegionId): readonly KnownServer[] {
    const servers = this.#parts.registry.listUsable(service, region);
    const isAllowed = this.#toFilter(this.#assignRepeat(service, region));
    return isAllowed === undefined ? servers : servers.filter(isAllowed);
  }

  /** Returns the services that have servers in a region which any call may be sent to. */
  listUsableServices(region: RegionId): readonly string[] {
    const services = this.#parts.registry.listUsableServices(region);
    if (this.#parts.rollouts === undefined) return services;
    return services.filter((name) => this.listUsable(name, region).length > 0);
  }

  /** Returns whether some call may be sent to a server now, or a stream be resumed there. */
  mayServe(server: KnownServer): boolean {
    const { rollouts } = this.#parts;
    const { entry } = server;
    if (rollouts === undefined || entry.version === undefined) return true;
    const assignment = rollouts.assign({
      service: entry.service,
      region: entry.region,
      isFirstSend: false,
      mustUse: entry.version,
    });
    return rollouts.isAllowed(
      assignment,
      toVersionedServer(server, entry.version),
    );
  }

  /**
   * Draws the version of a call, once in the call's time and before its first send. A call
   * that waits for capacity would otherwise draw each time that it is woken.
   *
   * @returns The assignment if it differs from that of repeated sends; `undefined` if not.
   */
  drawFirst(
    call: VersionNeeds,
  ): VersionAssignment & { kind: "trial" | "destination" } | undefined {
    const { ownRegion, rollouts } = this.#parts;
    if (rollouts === undefined || call.hasDrawnVersion) return undefined;
    call.hasDrawnVersion = true;
    // A quarantined call may fail at any version, and shows nothing about a canary.
    const isFirstSend = call.isFirstSend && !call.isTrial &&
      call.progress.version === undefined;
    if (!isFirstSend) return undefined;
    const affinityKey = call.promptParts
      .findLast(({ isShared }) => isShared)?.key;
    const assignment = rollouts.assign({
      service: call.service.name,
      region: ownRegion,
      route: call.route.name,
      isFirstSend,
      ...(affinityKey === undefined ? {} : { affinityKey }),
    });
    return assignment.kind === "trial" || assignment.kind === "destination"
      ? assignment
      : undefined;
  }

  /** Returns which servers an assignment allows. The result holds only until the next wait. */
  createFilter(assignment: VersionAssignment): ServerFilter {
    return this.#toFilter(assignment);
  }

  /**
   * Returns which servers of a region a retry, a handover, a resumed stream or a call outside
   * the canary may use. The result holds only until the next wait.
   */
  createRepeatFilter(
    { progress: { version }, service }: VersionNeeds,
    region: RegionId,
  ): ServerFilter {
    return this.#toFilter(this.#assignRepeat(service.name, region, version));
  }

  /**
   * Counts a send to a server as it begins. Returns `undefined` where versions have no effect.
   *
   * @param server The server.
   * @param route Name of the call's route.
   */
  beginSend(
    { entry: { id, service } }: KnownServer,
    route: string,
  ): SendRecord | undefined {
    return this.#parts.rollouts?.beginSend({ service, server: id, route });
  }

  /** Returns the version that an answer of a server begins; `undefined` where it has no effect. */
  readVersion({ entry }: KnownServer): ServerVersion | undefined {
    return this.#parts.rollouts === undefined ? undefined : entry.version;
  }

  #assignRepeat(
    service: string,
    region: RegionId,
    mustUse?: ServerVersion,
  ): VersionAssignment | undefined {
    return this.#parts.rollouts?.assign({
      service,
      region,
      isFirstSend: false,
      ...(mustUse === undefined ? {} : { mustUse }),
    });
  }

  #toFilter(assignment: VersionAssignment | undefined): ServerFilter {
    const { rollouts } = this.#parts;
    if (rollouts === undefined || assignment === undefined) return undefined;
    if (assignment.kind === "any") return undefined;
    // Servers without a version are replaced by no order: they count as in force.
    const isAllowed = (server: KnownServer) =>
      server.entry.version === undefined
        ? assignment.kind === "in-force"
        : rollouts.isAllowed(
          assignment,
          toVersionedServer(server, server.entry.version),
        );
    if (assignment.kind === "trial") return isAllowed;
    // Other assignments depend on the version only, and servers have few.
    const byVersion = new Map<ServerVersion | undefined, boolean>();
    return (server) => {
      const { version } = server.entry;
      const known = byVersion.get(version);
      if (known !== undefined) return known;
      const isVersionAllowed = isAllowed(server);
      byVersion.set(version, isVersionAllowed);
      return isVersionAllowed;
    };
  }
}

/** Returns a usable server as the rollouts know it. */
export function toVersionedServer(
  { coldUntilMs, entry }: KnownServer,
  version: ServerVersion,
): VersionedServer {
  const { id, region, service } = entry;
  return { id, service, region, version, isReady: true, coldUntilMs };
}
