import type { Clock } from "../clock/mod.ts";
import { type RouteConfiguration, RouteTable } from "../http_routes/mod.ts";
import type { FailureDomainId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { CrashReport } from "../quarantine/mod.ts";
import type { ServerRegistry } from "../servers/mod.ts";
import {
  comparePositions,
  STORE_START,
  type StoreEntry,
  type StoreEvent,
  type StorePosition,
  type StoreSnapshot,
} from "../store/mod.ts";
import { DocumentCache } from "./document_cache.ts";
import { pickFresh } from "./merge_state.ts";
import type { RemovedKey } from "./removal_log.ts";
import { RetainedDocuments } from "./retained_documents.ts";
import {
  RolloutDocuments,
  type RolloutSink,
  toOrderId,
} from "./rollout_documents.ts";
import { ServerEntries } from "./server_entries.ts";
import type {
  RegisteredInstance,
  StateDecoder,
  StateDocument,
} from "./state_document.ts";
import type { StateCopy } from "./state_source.ts";

/**
 * How long servers and evacuations that a restored store lacks are retained, in
 * milliseconds: their writers write them again within about two seconds.
 */
const RESTORED_GRACE_MS = 3_000;
/**
 * How long servers that are missing from a peer's copy are retained, in milliseconds:
 * shorter, since the copy is already some hundred ms old, and a server that left must
 * get no new calls within seconds.
 */
const COPY_GRACE_MS = 1_500;

/** Decoder of documents, and what they are applied to. */
export interface StateInForceParts {
  readonly decoder: StateDecoder;
  readonly registry: ServerRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with the routes of each configuration that comes into force. */
  readonly applyTable: (table: RouteTable) => void;
  /** Called after each change of the registry. */
  readonly onServers: () => void;
  /** Called with each refused call found in the store. Default: does nothing. */
  readonly onRefusedCall?: (report: CrashReport) => void;
  /** Receives orders and records of rollouts. Default: they have no effect. */
  readonly rollouts?: RolloutSink | undefined;
  /** Called when the store was restored from an older copy and has lost later writes. */
  readonly onRestored?: () => void;
}

/**
 * The state of the store that is in force at this instance: configuration, servers,
 * evacuations. It is updated from watches, full reads and copies of peers, in any order.
 *
 * One rule keeps old state from coming back, whichever way it arrives: each change has
 * the store's era and revision, and nothing at or below the position in force is applied
 * again. A configuration needs a higher version as well.
 *
 * A store that is restored from an older copy begins a new era, in which revisions start
 * below earlier ones. Documents that it lost stay in force until they are written again:
 * a configuration without limit, the last writes of a server until its next one, servers
 * and evacuations for a few seconds.
 */
export class StateInForce {
  readonly #parts: StateInForceParts;
  readonly #cache = new DocumentCache();
  readonly #retained = new RetainedDocuments();
  /** Orders and records of rollouts. */
  readonly rollouts = new RolloutDocuments();
  readonly #servers: ServerEntries;
  #position = STORE_START;
  #configuration: RouteConfiguration | undefined;
  #evacuated: readonly FailureDomainId[] = [];
  /** Era of the last full read, also while it is being applied. */
  #appliedEra = 0;
  /** Whether the state of a restored store is being applied. */
  #isRestoring = false;

  /** @param parts Decoder and receivers of changes. */
  constructor(parts: StateInForceParts) {
    this.#parts = parts;
    this.#servers = new ServerEntries({ ...parts, cache: this.#cache });
  }

  /** Position up to which changes of the store are applied. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Version of the configuration in force; 0: none. */
  get configurationVersion(): number {
    return this.#configuration?.version ?? 0;
  }

  /** Instances that have an entry in the store. */
  get instances(): readonly RegisteredInstance[] {
    return this.#cache.documents.flatMap((document) =>
      document.kind === "instance" ? [document] : []
    );
  }

  /** Returns the entry of a key, as last accepted. */
  readEntry(key: string): StoreEntry | undefined {
    return this.#cache.readEntry(key);
  }

  /** Returns whether the store was restored from an older copy after the state in force. */
  isNewEra({ era }: StorePosition): boolean {
    return this.#position !== STORE_START && era > this.#position.era;
  }

  /**
   * Returns a copy for a peer.
   *
   * @param after Position up to which the peer knows everything.
   * @param isAfterOutage Whether removed servers may come back.
   */
  createCopy(after: StorePosition, isAfterOutage: boolean): StateCopy {
    return this.#cache.createCopy(after, {
      ...this.#position,
      configurationVersion: this.configurationVersion,
      isAfterOutage,
    });
  }

  /**
   * Applies the copy of a peer that knows more.
   *
   * @returns Whether anything in it was newer.
   */
  applyCopy(copy: StateCopy): boolean {
    const isLater = this.#applyLaterCopy(copy);
    // The store may have lost a configuration: a copy at any position may have a newer one.
    return this.#applyNewerConfiguration(copy) || isLater;
  }

  /** Drops what did not come back after an outage, or was not written again in time. */
  sweep(): void {
    const { clock, logger, onServers, registry } = this.#parts;
    const nowMs = clock.nowMs();
    const hasExpired = this.#retained.sweep(nowMs);
    if (hasExpired) this.#applyEvacuations();
    const hasReturned = this.#servers.sweep(nowMs);
    const removed = registry.dropMissing(nowMs);
    if (removed.length > 0) {
      logger.info("missing servers removed", { servers: removed.join(" ") });
    }
    if (hasExpired || hasReturned || removed.length > 0) onServers();
  }

  #applyLaterCopy(copy: StateCopy): boolean {
    if (comparePositions(copy, this.#position) <= 0) return false;
    if (copy.afterRevision === 0) {
      this.applySnapshot(copy, COPY_GRACE_MS);
      return true;
    }
    const isContinuation = copy.era === this.#position.era &&
      copy.afterRevision <= this.#position.revision;
    if (isContinuation) this.#applyChangedCopy(copy);
    return isContinuation;
  }

  #applyChangedCopy(copy: StateCopy): void {
    const changes = [...copy.entries, ...copy.removed]
      .map((change): StoreEvent => ({ value: undefined, ...change }))
      .sort((a, b) => a.revision - b.revision);
    this.applyEvents(changes, copy.revision, copy.isAfterOutage);
  }

  /**
   * Applies changes of the era in force.
   *
   * @param events Changes from a watch, or from a peer.
   * @param revision Revision up to which they are complete.
   * @param isAfterOutage Whether live servers may have lost their entries.
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
    this.rollouts.flush(this.#parts.rollouts);
    if (fresh.length > 0) this.#parts.onServers();
  }

  /**
   * Applies a full read or a complete copy.
   *
   * @param snapshot Snapshot that is not older than the state in force.
   * @param graceMs How long servers that it does not list are retained, in milliseconds.
   */
  applySnapshot(snapshot: StoreSnapshot, graceMs: number): void {
    if (this.isNewEra(snapshot)) {
      this.#applyRestoredSnapshot(snapshot);
      return;
    }
    this.#cache.keepOnly(listKeys(snapshot));
    this.rollouts.keepOnly(this.#listRolloutServices());
    this.#applyAll(snapshot, graceMs);
  }

  /** Applies the state of a store that was restored from an older copy. */
  #applyRestoredSnapshot(snapshot: StoreSnapshot): void {
    const { clock, logger, onRestored } = this.#parts;
    const nowMs = clock.nowMs();
    const { era, revision } = snapshot;
    logger.warn("store was restored from an older copy", {
      era,
      revision,
      eraBefore: this.#position.era,
      revisionBefore: this.#position.revision,
    });
    this.#position = { era, revision };
    this.#cache.beginEra(listKeys(snapshot)).forEach((document, key) => {
      if (document.kind !== "evacuation") return;
      this.#retained.add(key, document, nowMs + RESTORED_GRACE_MS);
    });
    this.rollouts.beginEra();
    this.#isRestoring = true;
    this.#applyAll(snapshot, RESTORED_GRACE_MS);
    this.#isRestoring = false;
    onRestored?.();
  }

  #applyAll(
    { entries, era, revision }: StoreSnapshot,
    graceMs: number,
  ): void {
    const { clock, registry } = this.#parts;
    this.#appliedEra = era;
    entries.forEach((entry) => this.#applyEntry(entry));
    registry.replaceAll(this.#servers.list(), clock.nowMs(), graceMs);
    this.#advance({ era, revision });
    this.#cache.resetRemovals(this.#position.revision);
    this.#applyEvacuations();
    this.rollouts.flush(this.#parts.rollouts);
    this.#parts.onServers();
  }

  #advance({ era, revision }: StorePosition): void {
    const before = this.#position.revision;
    this.#position = { era, revision: Math.max(before, revision) };
  }

  #applyEntry(entry: StoreEntry): void {
    const { key, value } = entry;
    if (this.#cache.isProcessed(entry)) return;
    this.#retained.drop(key);
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
        const { call, endedMs, failedTrials = 0, servers } = document;
        const ageMs = Math.max(0, this.#parts.clock.nowMs() - endedMs);
        this.#cache.put(entry, document);
        this.#parts.onRefusedCall?.({
          call,
          servers,
          ageMs,
          failedTrials,
        });
        return;
      }
      case "rollout-order":
      case "refused-order":
      case "rollout-record":
        this.#cache.put(entry, document);
        this.#applyRollout(entry, document);
        return;
      case "evacuation":
      case "instance":
      case "other":
        this.#cache.put(entry, document);
    }
  }

  #applyRollout(
    entry: StoreEntry,
    document: StateDocument & {
      kind: "rollout-order" | "refused-order" | "rollout-record";
    },
  ): void {
    switch (document.kind) {
      case "rollout-order": {
        const { destination, durationMs, service } = document;
        const id = toOrderId(this.#appliedEra, entry.revision);
        const order = { id, service, destination, durationMs };
        this.rollouts.putOrder(order, this.#isRestoring);
        return;
      }
      case "refused-order": {
        const { destination, reason, service } = document;
        this.#logRefusal(entry, reason);
        this.rollouts.refuseOrder({
          service,
          status: destination &&
            { service, destination, state: "rolled_back" },
        });
        return;
      }
      case "rollout-record":
        this.rollouts.putRecord(document.record);
    }
  }

  /**
   * Refuses an entry that can't be read. A configuration stays in force. A server gets
   * no new calls until its next valid entry, since the entry may be of another writer.
   */
  #refuseEntry(entry: StoreEntry, reason: string): void {
    this.#logRefusal(entry, reason);
    const before = this.#cache.readDocument(entry.key);
    switch (before?.kind) {
      case "configuration":
        this.#cache.skip(entry);
        return;
      case "server":
        this.#servers.withdraw(entry, before.server);
        return;
      case "rollout-record":
        this.rollouts.removeRecord(before.record.service);
        this.#cache.put(entry, { kind: "other" });
        return;
      default:
        this.#cache.put(entry, { kind: "other" });
    }
  }

  #logRefusal({ key, revision }: StoreEntry, reason: string): void {
    this.#parts.logger.error("document refused", { key, revision, reason });
  }

  /** Returns the services that have an order, and those that have a record. */
  #listRolloutServices() {
    const orders = new Set<string>();
    const records = new Set<string>();
    this.#cache.documents.forEach((document) => {
      switch (document.kind) {
        case "rollout-order":
        case "refused-order":
          orders.add(document.service);
          break;
        case "rollout-record":
          records.add(document.record.service);
      }
    });
    return { orders, records };
  }

  #removeKey(removed: RemovedKey, isAfterOutage: boolean): void {
    const { key } = removed;
    this.#retained.drop(key);
    const document = this.#cache.remove(removed);
    switch (document?.kind) {
      case "server": {
        const { era } = this.#position;
        this.#servers.remove(key, document.server, { era, isAfterOutage });
        return;
      }
      case "rollout-order":
      case "refused-order":
        this.rollouts.removeOrder(document.service);
        return;
      case "rollout-record":
        this.rollouts.removeRecord(document.record.service);
    }
  }

  #applyConfiguration(
    entry: StoreEntry,
    configuration: RouteConfiguration,
  ): void {
    const { logger } = this.#parts;
    const { version } = configuration;
    const inForce = this.#configuration?.version ?? 0;
    if (version < inForce) {
      logger.warn("older configuration ignored", { version, inForce });
      this.#cache.skip(entry);
      return;
    }
    this.#cache.put(entry, { kind: "configuration", configuration });
    if (version > inForce) this.#putInForce(configuration);
  }

  /** Applies a newer configuration of a copy, whatever the copy's position. */
  #applyNewerConfiguration(
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
    this.#cache.putOfEarlierEra(newer.entry, newer.document);
    this.#putInForce(newer.document.configuration);
    return true;
  }

  #putInForce(configuration: RouteConfiguration): void {
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
      ...this.#cache.documents,
      ...this.#retained.documents,
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
