import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import { type RouteConfiguration, RouteTable } from "../http_routes/mod.ts";
import type { FailureDomainId } from "../ids/mod.ts";
import type { KnownState } from "../fleet/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";
import type { ServerRegistry } from "../servers/mod.ts";
import {
  comparePositions,
  type RevisionedStore,
  STORE_START,
  type StoreEntry,
  type StoreEvent,
  type StorePosition,
  type StoreSnapshot,
} from "../store/mod.ts";
import { CarriedOver } from "./carried_over.ts";
import { HeldDocuments } from "./held_documents.ts";
import { mayReplace, pickFresh } from "./merge_state.ts";
import type { StateDecoder } from "./state_change.ts";
import type { RemovedKey } from "./removal_log.ts";
import { LAPSED_GRACE_MS, ServerEntries } from "./server_entries.ts";
import type { StateCopy, StateSource } from "./state_source.ts";

/**
 * How long one watch waits at the store at the most, in milliseconds. A lost
 * answer is noticed only when the wait and the call's timeout (1.5 s) are over.
 * The instances that hear of the store from this one wait as long for others to
 * step in, and must apply a configuration within the users' 4 s.
 */
const WATCH_WAIT_MS = 1_500;
/**
 * Part of the wait that is chosen at random, so that instances whose watches
 * began with the same event do not all wait for a lost answer equally long.
 */
const WATCH_WAIT_JITTER = 0.25;
/** Pause after a failed call, in milliseconds; it doubles, is jittered, and has an upper bound. */
const FIRST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 1_000;
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
/** An outage counts for the grace until so long after its end, in milliseconds. */
const AFTER_OUTAGE_MS = 3_000;
/**
 * Time between the answers of watches, in milliseconds, once changes follow each
 * other: servers that warm up write once a second each, and each answer is a paid
 * call. Those that come later within it share one answer.
 */
const GATHER_MS = 200;
/** How far answers may run ahead of that pace, in milliseconds: ten changes after a quiet time are taken at once. */
const GATHER_BURST_MS = 2_000;
/** Pause between looks whether this instance has to follow the store, in milliseconds: one report. */
const ROLE_CHECK_MS = 150;
/**
 * How long an instance that the store did not answer, and that no longer asks it,
 * says so, in milliseconds. Then it may stand in again for one that follows.
 */
const STORE_LOST_MS = 10_000;

/** What a follower is created from. */
export interface StateFollowerParts {
  readonly store: Pick<RevisionedStore, "readSnapshot" | "awaitChanges">;
  readonly decoder: StateDecoder;
  readonly registry: ServerRegistry;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Prefix of all keys that matter. */
  readonly prefix: string;
  /** Takes each configuration that comes into force. */
  readonly applyTable: (table: RouteTable) => void;
  /** Called after each change of the registry. */
  readonly onServers: () => void;
  /** Takes a refused call that is kept in the store. Default: it is passed over. */
  readonly onRefusedCall?: (ends: ReportedEnds) => void;
  /** Called when the store has come back from an older copy: what instances wrote since is lost. */
  readonly onRestored?: () => void;
  /** Whether this instance follows the store, and does not leave it to peers. Default: always. */
  readonly isRelay?: () => boolean;
}

/**
 * Follows the documents in the store and puts them in force: configuration,
 * servers, evacuations. Where the store does not answer, the last known state
 * stays in force, and copies of peers that know more are taken.
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
export class StateFollower implements StateSource {
  readonly #parts: StateFollowerParts;
  readonly #held = new HeldDocuments();
  readonly #carried = new CarriedOver();
  readonly #servers: ServerEntries;
  #position = STORE_START;
  /** Time up to which the pace of answers is used up. */
  #pacedUntilMs = 0;
  #configuration: RouteConfiguration | undefined;
  #evacuated: readonly FailureDomainId[] = [];
  #isReachable = false;
  #lastTroubleMs = Number.NEGATIVE_INFINITY;

  /** @param parts Store, decoder and what changes go to. */
  constructor(parts: StateFollowerParts) {
    this.#parts = parts;
    this.#servers = new ServerEntries({ ...parts, held: this.#held });
  }

  /** How much of the store is known. */
  get known(): KnownState {
    return {
      configurationVersion: this.#configuration?.version ?? 0,
      store: this.#position,
      isStoreLost: this.#isStoreLost(),
    };
  }

  /** Whether a configuration is in force. */
  get isLoaded(): boolean {
    return this.#configuration !== undefined;
  }

  /** Whether the store answered the last call. */
  get isReachable(): boolean {
    return this.#isReachable;
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

  /**
   * Returns a copy for a peer.
   *
   * @param after Up to where the peer knows all.
   */
  createCopy(after: StorePosition): StateCopy {
    return this.#held.createCopy(after, {
      ...this.#position,
      configurationVersion: this.known.configurationVersion,
      isAfterOutage: this.#isAfterOutage(),
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

  /** Follows the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let afterRevision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
      if (!this.#mustFollow()) {
        await waitFor(this.#parts.clock, ROLE_CHECK_MS, signal);
        afterRevision = this.#position.revision;
        failures = 0;
        continue;
      }
      const next = afterRevision === undefined
        ? await this.#readAll(signal)
        : await this.#awaitChanges(afterRevision, signal);
      if (signal.aborted) return;
      if (next !== "failed") {
        failures = 0;
        afterRevision = next;
        continue;
      }
      // A watch that failed goes on from its revision: the store keeps some history.
      await this.#pause(failures++, signal);
    }
  }

  /** Drops what did not come back after an outage, or was not written again. */
  sweep(): void {
    const { clock, logger, onServers, registry } = this.#parts;
    const nowMs = clock.nowMs();
    if (this.#carried.sweep(nowMs)) this.#applyEvacuations();
    const hasBack = this.#servers.sweep(nowMs);
    const gone = registry.dropMissing(nowMs);
    if (gone.length > 0) {
      logger.info("servers gone", { servers: gone.join(" ") });
    }
    if (hasBack || gone.length > 0) onServers();
  }

  async #readAll(signal: AbortSignal): Promise<number | "failed"> {
    const { prefix, store } = this.#parts;
    const snapshot = await store.readSnapshot(prefix, { signal });
    if (snapshot.isErr()) return this.#noteFailure(snapshot.error.message);
    const wasInTrouble = this.#isAfterOutage();
    this.#noteSuccess();
    if (this.#isNewEra(snapshot.value)) this.#applyRestored(snapshot.value);
    else if (mayReplace(this.#position, snapshot.value)) {
      this.#applySnapshot(snapshot.value, wasInTrouble ? LAPSED_GRACE_MS : 0);
    } else this.#logOlder(snapshot.value);
    return snapshot.value.revision;
  }

  async #awaitChanges(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined | "failed"> {
    const { logger, prefix, store } = this.#parts;
    const changes = await store.awaitChanges({
      prefix,
      afterRevision,
      waitMs: this.#pickWaitMs(),
    }, { signal });
    if (changes.isErr()) return this.#noteFailure(changes.error.message);
    this.#noteSuccess();
    const { era } = changes.value;
    // Whatever it says of its revisions, they are not those that it was asked for.
    if (era > this.#position.era) return undefined;
    if (changes.value.kind === "compacted") {
      logger.info("store dropped its history", { afterRevision, era });
      this.#lastTroubleMs = this.#parts.clock.nowMs();
      return undefined;
    }
    const { events, revision } = changes.value;
    // An answer that was on its way when a peer told of the next era.
    if (era < this.#position.era) return revision;
    this.#applyEvents(events, revision, this.#isAfterOutage());
    if (events.length > 0) await this.#gatherMore(signal);
    return this.#position.revision;
  }

  /** Before the first configuration each instance reads the store, whoever else does. */
  #mustFollow(): boolean {
    return !this.isLoaded || (this.#parts.isRelay?.() ?? true);
  }

  async #gatherMore(signal: AbortSignal): Promise<void> {
    const { clock } = this.#parts;
    const nowMs = clock.nowMs();
    this.#pacedUntilMs = Math.max(nowMs, this.#pacedUntilMs) + GATHER_MS;
    const waitMs = this.#pacedUntilMs - GATHER_BURST_MS - nowMs;
    if (waitMs > 0) await waitFor(clock, waitMs, signal);
  }

  /** While the store does not answer it is asked for what is there: waiting would hide its return. */
  #pickWaitMs(): number {
    if (!this.#isReachable) return 0;
    const jitter = WATCH_WAIT_JITTER * this.#parts.random.nextFloat();
    return Math.round(WATCH_WAIT_MS * (1 - jitter));
  }

  #applyLaterCopy(copy: StateCopy): boolean {
    const isWhole = copy.afterRevision === 0;
    if (this.#isNewEra(copy)) {
      if (isWhole) this.#applyRestored(copy);
      return isWhole;
    }
    const isLater = comparePositions(copy, this.#position) > 0;
    const hasGap = copy.afterRevision > this.#position.revision;
    if (!isLater || hasGap) return false;
    if (isWhole) this.#applySnapshot(copy, COPY_GRACE_MS);
    else this.#applyChangedCopy(copy);
    return true;
  }

  #applyChangedCopy(copy: StateCopy): void {
    const changes = [...copy.entries, ...copy.removed]
      .map((change): StoreEvent => ({ value: undefined, ...change }))
      .sort((a, b) => a.revision - b.revision);
    this.#applyEvents(changes, copy.revision, copy.isAfterOutage);
  }

  #applyEvents(
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

  #applySnapshot(snapshot: StoreSnapshot, graceMs: number): void {
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
    this.#lastTroubleMs = nowMs;
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

  /** Whether the store has come back from an older copy since the state that is in force. */
  #isNewEra({ era }: StorePosition): boolean {
    return this.#position !== STORE_START && era > this.#position.era;
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
    if (configurationVersion <= this.known.configurationVersion) return false;
    const [newer] = entries.flatMap((entry) => {
      const document = this.#parts.decoder.decode(entry.key, entry.value);
      const isNewer = document.isOk() &&
        document.value.kind === "configuration" &&
        document.value.configuration.version >
          this.known.configurationVersion;
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

  #logOlder({ era, revision }: StorePosition): void {
    this.#parts.logger.warn("older state of the store passed over", {
      era,
      revision,
      inForceEra: this.#position.era,
      inForce: this.#position.revision,
    });
  }

  #isAfterOutage(): boolean {
    return this.#parts.clock.nowMs() - this.#lastTroubleMs < AFTER_OUTAGE_MS;
  }

  #isStoreLost(): boolean {
    const sinceMs = this.#parts.clock.nowMs() - this.#lastTroubleMs;
    return !this.#isReachable && sinceMs < STORE_LOST_MS;
  }

  #noteFailure(reason: string): "failed" {
    const { clock, logger } = this.#parts;
    if (this.#isReachable) logger.warn("store lost", { reason });
    this.#isReachable = false;
    this.#lastTroubleMs = clock.nowMs();
    return "failed";
  }

  #noteSuccess(): void {
    if (!this.#isReachable) {
      this.#parts.logger.info("store reached", { ...this.#position });
    }
    this.#isReachable = true;
  }

  async #pause(failures: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#parts;
    const longestMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** failures,
    );
    await waitFor(clock, longestMs * (0.5 + random.nextFloat() / 2), signal);
  }
}

function listKeys({ entries }: StoreSnapshot): ReadonlySet<string> {
  return new Set(entries.map(({ key }) => key));
}
