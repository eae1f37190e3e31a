import { type Clock, waitFor } from "../clock/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CallQuarantine } from "../quarantine/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";
import type { ProbeServer } from "./link_prober.ts";
import type { ServerLinks } from "./server_links.ts";
import type { UsableServers } from "./server_versions.ts";

/**
 * How long after its connections a crashed server may still accept new ones, in
 * milliseconds: the system closes them one after the other.
 */
const CLOSING_MS = 50;
/** Maximum number of other servers that are probed to tell a crash from the loss of own links. */
const MAX_WITNESSES = 4;

/** What a {@linkcode CrashConfirmer} is created from. */
export interface CrashConfirmerParts {
  readonly clock: Clock;
  readonly ownRegion: RegionId;
  /** Servers that any call may be sent to. */
  readonly registry: UsableServers;
  readonly links: ServerLinks;
  /** Knows which servers have crashed, here and at other instances. */
  readonly quarantine: Pick<CallQuarantine, "hasCrashed">;
  readonly probeServer: ProbeServer;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Tells whether a server that closed a connection during a call has crashed. It has not if
 * it accepts new connections: single connections are reset, too. Where no other server
 * accepts one either, the links of this instance are the more likely cause, unless all of
 * these servers are known to have crashed, too.
 */
export class CrashConfirmer {
  readonly #parts: CrashConfirmerParts;
  /** Probes in progress, which all calls that the server had share. */
  readonly #pending = new Map<BackendId, Promise<boolean>>();

  /** @param parts Servers and how to probe them. */
  constructor(parts: CrashConfirmerParts) {
    this.#parts = parts;
  }

  /** Returns whether a server that has just closed a connection during a call has crashed. */
  confirm(server: RegisteredServer): Promise<boolean> {
    const pending = this.#pending.get(server.id) ?? this.#check(server);
    this.#pending.set(server.id, pending);
    return pending;
  }

  async #check(server: RegisteredServer): Promise<boolean> {
    const { clock, logger, metrics, probeServer } = this.#parts;
    const { id, service } = server;
    const witnesses = this.#pickWitnesses(server);
    await waitFor(clock, CLOSING_MS);
    const isAccepting = await probeServer(server.address);
    const hasCrashed = !isAccepting && await this.#hasLinks(witnesses);
    this.#pending.delete(id);
    if (hasCrashed) {
      logger.warn("server crashed", { server: id, service });
      metrics.count("servers.crashed", 1, { service });
    } else {
      logger.info("server closed connections and has not crashed", {
        server: id,
        service,
        isAccepting,
      });
    }
    return hasCrashed;
  }

  /**
   * Returns other servers that could be reached until now: those first that are not known to have
   * crashed, and of these the ones of other services, as a call crashes servers of its own service.
   */
  #pickWitnesses(
    { id, service }: RegisteredServer,
  ): readonly RegisteredServer[] {
    const { links, ownRegion, quarantine, registry } = this.#parts;
    const others = registry.listUsableServices(ownRegion)
      .flatMap((name) => registry.listUsable(name, ownRegion))
      .map(({ entry }) => entry)
      .filter((entry) => entry.id !== id && !links.isUnreachable(entry.id));
    const ofService = others.filter((entry) => entry.service === service);
    const ofOthers = others.filter((entry) => entry.service !== service);
    const ordered = [...ofOthers, ...ofService];
    const crashed = ordered.filter((entry) => quarantine.hasCrashed(entry.id));
    const running = ordered.filter((entry) => !quarantine.hasCrashed(entry.id));
    return [...running, ...crashed].slice(0, MAX_WITNESSES);
  }

  /**
   * Returns whether one of the servers can be reached, or there is none to show it. A server that
   * has crashed does not show that links are lost: the last one of a region crashes as well.
   */
  async #hasLinks(witnesses: readonly RegisteredServer[]): Promise<boolean> {
    const { probeServer, quarantine } = this.#parts;
    const reached = await Promise.all(
      witnesses.map(({ address }) => probeServer(address)),
    );
    return reached.includes(true) ||
      witnesses.every(({ id }) => quarantine.hasCrashed(id));
  }
}
