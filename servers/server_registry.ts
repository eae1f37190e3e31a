import type { BackendId, FailureDomainId, RegionId } from "../ids/mod.ts";

/** One backend server as it registered itself. */
export interface RegisteredServer {
  /**
   * Names one start of the server: what is learned of it holds for no other one.
   */
  readonly id: BackendId;
  /** What it calls itself, and answers to; another start may have the same name. */
  readonly name: string;
  /** When it started, in milliseconds since the epoch on its own clock, where it says so. */
  readonly startedMs: number | undefined;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  /** Calls that it works on at a time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How long it stays cold, counted from when the entry was read, in milliseconds. */
  readonly coldForMs: number;
  /** Counts the writes of this start; what it wrote first may be read last. */
  readonly sequence: number;
}

/** A registered server with what this instance has learned of its entry. */
export interface KnownServer {
  readonly entry: RegisteredServer;
  /** Until when it is taken as cold, on the own clock. */
  readonly coldUntilMs: number;
  /** Whether it has said in an answer that it leaves. */
  readonly saysItLeaves: boolean;
}

/** Optional parts of a registry. */
export interface ServerRegistryOptions {
  /** How long a server is cold after its start, by service. Default: never. */
  readonly readWarmUpMs?: (service: string) => number;
}

/**
 * The backend servers that may get calls: those registered, without those that
 * drain, by their entry or their own word, or whose failure domain is evacuated.
 */
export class ServerRegistry {
  readonly #servers = new Map<BackendId, KnownServer>();
  readonly #evacuated = new Set<FailureDomainId>();
  /** Servers that a full read no longer listed, and until when they are kept. */
  readonly #missingUntilMs = new Map<BackendId, number>();
  readonly #readWarmUpMs: (service: string) => number;
  #usable: ReadonlyMap<string, readonly KnownServer[]> = new Map();

  /** @param options What else decides on cold servers. */
  constructor(options: ServerRegistryOptions = {}) {
    this.#readWarmUpMs = options.readWarmUpMs ?? (() => 0);
  }

  /** All registered servers. */
  get servers(): readonly KnownServer[] {
    return [...this.#servers.values()];
  }

  /** Failure domains that get nothing at present. */
  get evacuated(): ReadonlySet<FailureDomainId> {
    return this.#evacuated;
  }

  /** Returns a registered server, also one that gets no calls. */
  find(id: BackendId): KnownServer | undefined {
    return this.#servers.get(id);
  }

  /** Returns the servers of a service that may get calls in a region. */
  listUsable(service: string, region: RegionId): readonly KnownServer[] {
    return this.#usable.get(toPoolKey(service, region)) ?? [];
  }

  /** Whether a server may get new calls. */
  isUsable(id: BackendId): boolean {
    const known = this.#servers.get(id);
    return known !== undefined && !known.entry.isDraining &&
      !known.saysItLeaves &&
      !this.#evacuated.has(known.entry.failureDomain);
  }

  /**
   * Takes a new or changed entry.
   *
   * @param entry As registered.
   * @param nowMs Time now.
   */
  put(entry: RegisteredServer, nowMs: number): void {
    this.#putOne(entry, nowMs);
    this.#refresh();
  }

  /** Removes a server whose entry was deleted. */
  remove(id: BackendId): void {
    this.#servers.delete(id);
    this.#missingUntilMs.delete(id);
    this.#refresh();
  }

  /**
   * Takes a full list. Who is missing from it is gone, at once or after a
   * grace: entries that lapsed while the store was away come back.
   *
   * @param entries All registered servers.
   * @param nowMs Time now.
   * @param graceMs How long missing servers are kept, in milliseconds.
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
    this.#refresh();
  }

  /** Removes the servers whose grace after a full list is over. */
  dropMissing(nowMs: number): readonly BackendId[] {
    const gone = [...this.#missingUntilMs]
      .filter(([, untilMs]) => nowMs >= untilMs)
      .map(([id]) => id);
    gone.forEach((id) => {
      this.#missingUntilMs.delete(id);
      this.#servers.delete(id);
    });
    if (gone.length > 0) this.#refresh();
    return gone;
  }

  /**
   * Sets the failure domains that get nothing. The servers of one that is taken
   * back are cold.
   *
   * @param domains All that are evacuated now.
   * @param nowMs Time now.
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
    this.#refresh();
  }

  /** Records that a server says of itself that it is cold. */
  markCold(id: BackendId, untilMs: number): void {
    const known = this.#servers.get(id);
    if (known === undefined || known.coldUntilMs >= untilMs) return;
    this.#servers.set(id, { ...known, coldUntilMs: untilMs });
    this.#refresh();
  }

  /**
   * Records that a server says in an answer that it leaves: its entry says so only
   * once the store has taken that in, which may be down. The word holds until the
   * entry says that it leaves no more.
   *
   * @returns Whether that is news.
   */
  markLeaving(id: BackendId): boolean {
    const known = this.#servers.get(id);
    if (known === undefined || known.saysItLeaves) return false;
    this.#servers.set(id, { ...known, saysItLeaves: true });
    this.#refresh();
    return true;
  }

  #putOne(entry: RegisteredServer, nowMs: number): void {
    const known = this.#servers.get(entry.id);
    this.#missingUntilMs.delete(entry.id);
    // The time that an entry says is left counts from when it was first read.
    if (known?.entry === entry) return;
    const isBack = known?.entry.isDraining === true && !entry.isDraining;
    const before = known?.coldUntilMs ?? 0;
    const coldUntilMs = entry.coldForMs > 0 ? nowMs + entry.coldForMs : 0;
    this.#servers.set(entry.id, {
      entry,
      coldUntilMs: Math.max(before, coldUntilMs),
      saysItLeaves: (known?.saysItLeaves ?? false) && !isBack,
    });
  }

  #refresh(): void {
    const pools = new Map<string, KnownServer[]>();
    this.#servers.forEach((known, id) => {
      if (!this.isUsable(id)) return;
      const key = toPoolKey(known.entry.service, known.entry.region);
      const pool = pools.get(key);
      if (pool === undefined) pools.set(key, [known]);
      else pool.push(known);
    });
    this.#usable = pools;
  }
}

function toPoolKey(service: string, region: RegionId): string {
  return `${service}\u0000${region}`;
}
