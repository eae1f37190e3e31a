import type {
  BackendId,
  FailureDomainId,
  RegionId,
  ServerVersion,
} from "../ids/mod.ts";

/** A backend server as it registered itself. */
export interface RegisteredServer {
  /** Identifies one start of the server: what is learned of it holds for no other start. */
  readonly id: BackendId;
  /** Name that the server registers and that calls carry; its next start may have the same name. */
  readonly name: string;
  /** When it started, in milliseconds since the epoch on its own clock, if it reports it. */
  readonly startedMs: number | undefined;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  /** Maximum number of calls that it works on at a time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How long it stays cold from when the entry is read, in milliseconds. */
  readonly coldForMs: number;
  /** Counts the entries written by this start: an earlier one may be read after a later one. */
  readonly sequence: number;
  /** Version of its software; `undefined` if it declares none. */
  readonly version?: ServerVersion | undefined;
}

/** A registered server with what this instance has learned of it. */
export interface KnownServer {
  readonly entry: RegisteredServer;
  /** Until when it counts as cold, on this instance's clock, in milliseconds. */
  readonly coldUntilMs: number;
  /** Whether it has announced in an answer that it is shutting down. */
  readonly hasAnnouncedLeaving: boolean;
}

/** Options of a registry. */
export interface ServerRegistryOptions {
  /** Returns how long servers of a service are cold after a start, in milliseconds. Default: 0. */
  readonly readWarmUpMs?: (service: string) => number;
}

/**
 * Registered backend servers, and which of them may get calls: not those that are
 * draining, according to their entry or an answer of theirs, and not those whose failure
 * domain is evacuated.
 */
export class ServerRegistry {
  readonly #servers = new Map<BackendId, KnownServer>();
  readonly #evacuated = new Set<FailureDomainId>();
  /** Servers that a full read no longer listed, and until when they are retained. */
  readonly #missingUntilMs = new Map<BackendId, number>();
  readonly #readWarmUpMs: (service: string) => number;
  #usablePools: ReadonlyMap<string, readonly KnownServer[]> = new Map();
  #usableServices: ReadonlyMap<RegionId, readonly string[]> = new Map();
  #changeCount = 0;

  /** @param options Warm-up times of the services. */
  constructor(options: ServerRegistryOptions = {}) {
    this.#readWarmUpMs = options.readWarmUpMs ?? (() => 0);
  }

  /** All registered servers. */
  get servers(): readonly KnownServer[] {
    return [...this.#servers.values()];
  }

  /** Number of changes so far, by which a reader tells whether anything is new. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** Failure domains whose servers get no calls at present. */
  get evacuated(): ReadonlySet<FailureDomainId> {
    return this.#evacuated;
  }

  /** Returns a registered server, whether it may get calls or not. */
  find(id: BackendId): KnownServer | undefined {
    return this.#servers.get(id);
  }

  /** Returns the servers of a service that may get calls in a region. */
  listUsable(service: string, region: RegionId): readonly KnownServer[] {
    return this.#usablePools.get(toPoolKey(service, region)) ?? [];
  }

  /** Returns the services that have servers which may get calls in a region. */
  listUsableServices(region: RegionId): readonly string[] {
    return this.#usableServices.get(region) ?? [];
  }

  /** Returns whether a server may get new calls. */
  isUsable(id: BackendId): boolean {
    const known = this.#servers.get(id);
    return known !== undefined && !known.entry.isDraining &&
      !known.hasAnnouncedLeaving &&
      !this.#evacuated.has(known.entry.failureDomain);
  }

  /**
   * Adds or updates a server from its entry.
   *
   * @param entry The server as it registered itself.
   * @param nowMs Current time, in milliseconds.
   */
  put(entry: RegisteredServer, nowMs: number): void {
    this.#putOne(entry, nowMs);
    this.#refreshPools();
  }

  /** Removes a server whose entry was deleted. */
  remove(id: BackendId): void {
    this.#servers.delete(id);
    this.#missingUntilMs.delete(id);
    this.#refreshPools();
  }

  /**
   * Replaces all servers by a full list. Servers missing from it are removed at once
   * or after a grace period, in which entries that expired during an outage of the
   * store come back.
   *
   * @param entries All registered servers.
   * @param nowMs Current time, in milliseconds.
   * @param graceMs How long missing servers are retained, in milliseconds.
   */
  replaceAll(
    entries: readonly RegisteredServer[],
    nowMs: number,
    graceMs: number,
  ): void {
    const listed = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.#putOne(entry, nowMs));
    [...this.#servers.keys()].filter((id) => !listed.has(id))
      .forEach((id) => {
        if (graceMs <= 0) this.#servers.delete(id);
        else if (!this.#missingUntilMs.has(id)) {
          this.#missingUntilMs.set(id, nowMs + graceMs);
        }
      });
    this.#refreshPools();
  }

  /** Removes and returns the missing servers whose grace period is over. */
  dropMissing(nowMs: number): readonly BackendId[] {
    const expired = [...this.#missingUntilMs]
      .filter(([, untilMs]) => nowMs >= untilMs)
      .map(([id]) => id);
    expired.forEach((id) => {
      this.#missingUntilMs.delete(id);
      this.#servers.delete(id);
    });
    if (expired.length > 0) this.#refreshPools();
    return expired;
  }

  /**
   * Sets the failure domains whose servers get no calls. The servers of a domain that
   * is no longer evacuated count as cold for their warm-up time.
   *
   * @param domains All domains that are evacuated now.
   * @param nowMs Current time, in milliseconds.
   */
  setEvacuated(domains: readonly FailureDomainId[], nowMs: number): void {
    const returned = [...this.#evacuated].filter((domain) =>
      !domains.includes(domain)
    );
    this.#evacuated.clear();
    domains.forEach((domain) => this.#evacuated.add(domain));
    this.#servers.forEach((known, id) => {
      const { coldUntilMs, entry } = known;
      if (!returned.includes(entry.failureDomain)) return;
      const warmUpMs = this.#readWarmUpMs(entry.service);
      this.#servers.set(id, {
        ...known,
        coldUntilMs: Math.max(coldUntilMs, nowMs + warmUpMs),
      });
    });
    this.#refreshPools();
  }

  /** Records that a server reported that it is cold until a time, in milliseconds. */
  markCold(id: BackendId, untilMs: number): void {
    const known = this.#servers.get(id);
    if (known === undefined || known.coldUntilMs >= untilMs) return;
    this.#servers.set(id, { ...known, coldUntilMs: untilMs });
    this.#refreshPools();
  }

  /**
   * Records that a server announced in an answer that it is shutting down. Its entry
   * shows that only once the server could write it to the store, which may be down. The
   * announcement holds until the entry was draining and is no longer.
   *
   * @returns Whether that was not known yet.
   */
  markLeaving(id: BackendId): boolean {
    const known = this.#servers.get(id);
    if (known === undefined || known.hasAnnouncedLeaving) return false;
    this.#servers.set(id, { ...known, hasAnnouncedLeaving: true });
    this.#refreshPools();
    return true;
  }

  #putOne(entry: RegisteredServer, nowMs: number): void {
    const known = this.#servers.get(entry.id);
    this.#missingUntilMs.delete(entry.id);
    // The cold time of an entry counts from when the entry was first read.
    if (known?.entry === entry) return;
    const isBack = known?.entry.isDraining === true && !entry.isDraining;
    const before = known?.coldUntilMs ?? 0;
    const coldUntilMs = entry.coldForMs > 0 ? nowMs + entry.coldForMs : 0;
    this.#servers.set(entry.id, {
      entry,
      coldUntilMs: Math.max(before, coldUntilMs),
      hasAnnouncedLeaving: (known?.hasAnnouncedLeaving ?? false) && !isBack,
    });
  }

  #refreshPools(): void {
    this.#changeCount++;
    const pools = new Map<string, KnownServer[]>();
    this.#servers.forEach((known, id) => {
      if (!this.isUsable(id)) return;
      const key = toPoolKey(known.entry.service, known.entry.region);
      const pool = pools.get(key);
      if (pool === undefined) pools.set(key, [known]);
      else pool.push(known);
    });
    this.#usablePools = pools;
    this.#usableServices = groupServices([...pools.values()].flat());
  }
}

/** Returns the names of the servers' services, by region. */
function groupServices(
  servers: readonly KnownServer[],
): ReadonlyMap<RegionId, readonly string[]> {
  const services = new Map<RegionId, Set<string>>();
  servers.forEach(({ entry: { region, service } }) => {
    const names = services.get(region) ?? new Set();
    services.set(region, names.add(service));
  });
  return new Map([...services].map(([region, names]) => [region, [...names]]));
}

function toPoolKey(service: string, region: RegionId): string {
  return `${service}\u0000${region}`;
}
