import type { Clock } from "../clock/mod.ts";
import { type RouteConfiguration, RouteTable } from "../http_routes/mod.ts";
import type { FailureDomainId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";
import type { ServerRegistry } from "../servers/mod.ts";
import {
  comparePositions,
  STORE_START,
  type StoreEntry,
  type StoreEvent,
  type StorePosition,
  type StoreSnapshot,
} from "../store/mod.ts";
import { CarriedOver } from "./carried_over.ts";
import { HeldDocuments } from "./held_documents.ts";
import { pickFresh } from "./merge_state.ts";
import type { StateDecoder } from "./state_change.ts";
import type { RemovedKey } from "./removal_log.ts";
import { ServerEntries } from "./server_entries.ts";
import type { StateCopy } from "./state_source.ts";

/**
 * How long servers and evacuations that are missing from a copy that the store came back
 * from are kept, in milliseconds: those who wrote them write them again, within about two
 * seconds.
 */
const RESTORED_GRACE_MS = 3_000;
/**
 * How long servers that are missing from a peer's copy are kept, in milliseconds:
 * shorter, since the copy is some hundred ms old, and whoever left must get
 * nothing new within seconds.
 */
const COPY_GRACE_MS = 1_500;

/** What documents are read with, and what they change. */
export interface StateInForceParts {
  readonly decoder: StateDecoder;
  readonly registry: ServerRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Takes each configuration that comes into force. */
  readonly applyTable: (table: RouteTable) => void;
  /** Called after each change of the registry. */
  readonly onServers: () => void;
  /** Takes a refused call that is kept in the store. Default: it is passed over. */
  readonly onRefusedCall?: (ends: ReportedEnds) => void;
  /** Called when the store has come back from an older copy: what instances wrote since is lost. */
  readonly onRestored?: () => void;
}

/**
 * What of the store is in force here: configuration, servers, evacuations, as told by
 * watches, full reads and copies of peers, in any order.
 *
 * One rule keeps old state from coming back, whatever the way it came: each
 * change has the store's era and revision, and nothing at or below the position that
 * is in force is applied again. A configuration needs a higher version as well.
 *
 * A store that came back from an older copy of itself begins a new era, in which
 * revisions start below those of before. What it has lost stays in force until it is
 * written again: a configuration for good, the last writes of a server until its next
 * one, servers and evacuations for a few seconds.
 */
export class StateInForce {
  readonly #parts: StateInForceParts;
  readonly #held = new HeldDocuments();
  readonly #carried = new CarriedOver();
  readonly #servers: ServerEntries;
  #position = STORE_START;
  #configuration: RouteConfiguration | undefined;
  #evacuated: readonly FailureDomainId[] = [];

  /** @param parts Decoder and what changes go to. */
  constructor(parts: StateInForceParts) {
    this.#parts = parts;
    this.#servers = new ServerEntries({ ...parts, held: this.#held });
  }

  /** Up to where changes of the store were taken in. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Version of the configuration; 0: none. */
  get configurationVersion(): number {
    return this.#configuration?.version ?? 0;
  }

  /** Addresses of instances that have an entry in the store. */
  get instanceAddresses(): readonly string[] {
    return this.#held.documents.flatMap((document) =>
      document.kind === "instance" ? [document.address] : []
    );
  }

  /** Returns the entry of a key as last seen. */
  readEntry(key: string): StoreEntry | undefined {
    return this.#held.readEntry(key);
  }

  /** Whether the store has come back from an older copy since the state that is in force. */
  isNewEra({ era }: StorePosition): boolean {
    return this.#position !== STORE_START && era > this.#position.era;
  }

  /**
   * Returns a copy for a peer.
   *
   * @param after Up to where the peer knows all.
   * @param isAfterOutage Whether servers among the removed may come back.
   */
  createCopy(after: StorePosition, isAfterOutage: boolean): StateCopy {
    return this.#held.createCopy(after, {
      ...this.#position,
      configurationVersion: this.configurationVersion,
      isAfterOutage,
    });
  }

  /**
   * Takes the copy of a peer that knows more.
   *
   * @returns Whether anything of it was newer.
   */
  applyCopy(copy: StateCopy): boolean {
    const isLater = this.#applyLaterCopy(copy);
    // The store may have lost a configuration: the position of a copy does not tell.
    return this.#takeNewerConfiguration(copy) || isLater;
  }

  /** Drops what did not come back after an outage, or was not written again. */
  sweep(): void {
    const { clock, logger, onServers, registry } = this.#parts;
    const nowMs = clock.nowMs();
    const hasExpired = this.#carried.sweep(nowMs);
    if (hasExpired) this.#applyEvacuations();
    const hasBack = this.#servers.sweep(nowMs);
    const gone = registry.dropMissing(nowMs);
    if (gone.length > 0) {
      logger.info("servers gone", { servers: gone.join(" ") });
    }
    if (hasExpired || hasBack || gone.length > 0) onServers();
  }

  #applyLaterCopy(copy: StateCopy): boolean {
    if (comparePositions(copy, this.#position) <= 0) return false;
    if (copy.afterRevision === 0) {
      this.applySnapshot(copy, COPY_GRACE_MS);
      return true;
    }
    const goesOn = copy.era === this.#position.era &&
      copy.afterRevision <= this.#position.revision;
    if (goesOn) this.#applyChangedCopy(copy);
    return goesOn;
  }

  #applyChangedCopy(copy: StateCopy): void {
    const changes = [...copy.entries, ...copy.removed]
      .map((change): StoreEvent => ({ value: undefined, ...change }))
      .sort((a, b) => a.revision - b.revision);
    this.applyEvents(changes, copy.revision, copy.isAfterOutage);
  }

  /**
   * Takes changes of the era that is in force.
   *
   * @param events From a watch, or from a peer.
   * @param revision Up to which they are all.
   * @param isAfterOutage Whether servers that live may have lost their entries.
   */
  applyEvents(
    events: readonly StoreEvent[],
    revision: number,
    isAfterOutage: boolean,
  ): void {
    const fresh = pickFresh(this.#position.revision, events);
    fresh.forEach((event) => {
      if (event.value === undefined) this.#removeKey(event, isAfterOutage);
      else this.#applyEntry({ ...event, value: event.value });
    });
    this.#advance({ era: this.#position.era, revision });
    this.#applyEvacuations();
    if (fresh.length > 0) this.#parts.onServers();
  }

  /**
   * Takes all that is there.
   *
   * @param snapshot Not older than what is in force.
   * @param graceMs How long servers are kept that it does not list, in milliseconds.
   */
  applySnapshot(snapshot: StoreSnapshot, graceMs: number): void {
    if (this.isNewEra(snapshot)) {
      this.#applyRestored(snapshot);
      return;
    }
    this.#held.keepOnly(listKeys(snapshot));
    this.#applyAll(snapshot, graceMs);
  }

  /** Takes the state of a store that came back from an older copy of itself. */
  #applyRestored(snapshot: StoreSnapshot): void {
    const { clock, logger, onRestored } = this.#parts;
    const nowMs = clock.nowMs();
    const { era, revision } = snapshot;
    logger.warn("store came back from an older copy", {
      era,
      revision,
      eraBefore: this.#position.era,
      revisionBefore: this.#position.revision,
    });
    this.#position = { era, revision };
    this.#held.beginEra(listKeys(snapshot)).forEach((document, key) => {
      if (document.kind !== "evacuation") return;
      this.#carried.add(key, document, nowMs + RESTORED_GRACE_MS);
    });
    this.#applyAll(snapshot, RESTORED_GRACE_MS);
    onRestored?.();
  }

  #applyAll(
    { entries, era, revision }: StoreSnapshot,
    graceMs: number,
  ): void {
    const { clock, registry } = this.#parts;
    entries.forEach((entry) => this.#applyEntry(entry));
    registry.replaceAll(this.#servers.list(), clock.nowMs(), graceMs);
    this.#advance({ era, revision });
    this.#held.restartRemovals(this.#position.revision);
    this.#applyEvacuations();
    this.#parts.onServers();
  }

  #advance({ era, revision }: StorePosition): void {
    const before = this.#position.revision;
    this.#position = { era, revision: Math.max(before, revision) };
  }

  #applyEntry(entry: StoreEntry): void {
    const { key, value } = entry;
    if (this.#held.isJudged(entry)) return;
    this.#carried.drop(key);
    const decoded = this.#parts.decoder.decode(key, value);
    if (decoded.isErr()) {
      this.#refuseEntry(entry, decoded.error);
      return;
    }
    const document = decoded.value;
    switch (document.kind) {
      case "server":
        this.#servers.apply(entry, document.server, this.#position.era);
        return;
      case "configuration":
        this.#applyConfiguration(entry, document.configuration);
        return;
      case "refused-call": {
        const { call, endedMs, servers } = document;
        const ageMs = Math.max(0, this.#parts.clock.nowMs() - endedMs);
        this.#held.put(entry, document);
        this.#parts.onRefusedCall?.({ call, servers, ageMs });
        return;
      }
      case "evacuation":
      case "instance":
      case "other":
        this.#held.put(entry, document);
    }
  }

  /**
   * Passes over an entry that can't be read. A configuration stays in force; a
   * server gets nothing new until its next good entry: whoever wrote there, it is
   * not known to be the server that was.
   */
  #refuseEntry(entry: StoreEntry, reason: string): void {
    const { key, revision } = entry;
    this.#parts.logger.error("document refused", { key, revision, reason });
    const before = this.#held.readDocument(key);
    switch (before?.kind) {
      case "configuration":
        this.#held.passOver(entry);
        return;
      case "server":
        this.#servers.withdraw(entry, before.server);
        return;
      default:
        this.#held.put(entry, { kind: "other" });
    }
  }

  #removeKey(removed: RemovedKey, isAfterOutage: boolean): void {
    const { key } = removed;
    this.#carried.drop(key);
    const document = this.#held.remove(removed);
    if (document?.kind !== "server") return;
    const { era } = this.#position;
    this.#servers.remove(key, document.server, { era, isAfterOutage });
  }

  #applyConfiguration(
    entry: StoreEntry,
    configuration: RouteConfiguration,
  ): void {
    const { logger } = this.#parts;
    const { version } = configuration;
    const inForce = this.#configuration?.version ?? 0;
    if (version < inForce) {
      logger.warn("older configuration dropped", { version, inForce });
      this.#held.passOver(entry);
      return;
    }
    this.#held.put(entry, { kind: "configuration", configuration });
    if (version > inForce) this.#enforce(configuration);
  }

  /** Takes the configuration of a copy that is newer, wherever the copy stands. */
  #takeNewerConfiguration(
    { configurationVersion, entries }: StateCopy,
  ): boolean {
    if (configurationVersion <= this.configurationVersion) return false;
    const [newer] = entries.flatMap((entry) => {
      const document = this.#parts.decoder.decode(entry.key, entry.value);
      const isNewer = document.isOk() &&
        document.value.kind === "configuration" &&
        document.value.configuration.version >
          this.configurationVersion;
      return isNewer ? [{ entry, document: document.value }] : [];
    });
    if (newer?.document.kind !== "configuration") return false;
    this.#held.carryOver(newer.entry, newer.document);
    this.#enforce(newer.document.configuration);
    return true;
  }

  #enforce(configuration: RouteConfiguration): void {
    const { applyTable, logger } = this.#parts;
    const before = this.#configuration?.version ?? 0;
    this.#configuration = configuration;
    logger.info("configuration in force", {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
    });
    applyTable(new RouteTable(configuration));
  }

  #applyEvacuations(): void {
    const { clock, logger, registry } = this.#parts;
    const documents = [
      ...this.#held.documents,
      ...this.#carried.documents,
    ];
    const domains = documents.flatMap((document) =>
      document.kind === "evacuation" ? [document.failureDomain] : []
    );
    if (domains.join() === this.#evacuated.join()) return;
    logger.info("evacuations changed", {
      before: this.#evacuated.join(" "),
      now: domains.join(" "),
      revision: this.#position.revision,
    });
    this.#evacuated = domains;
    registry.setEvacuated(domains, clock.nowMs());
  }
}

function listKeys({ entries }: StoreSnapshot): ReadonlySet<string> {
  return new Set(entries.map(({ key }) => key));
}
