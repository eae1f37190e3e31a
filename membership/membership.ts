import type { Random } from "../clock/mod.ts";
import { pickRandom } from "../clock/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import type {
  Heartbeat,
  InstanceRecord,
  Member,
  RegionDigest,
  Rumour,
  ServiceDigest,
} from "./member.ts";
import { rankNames } from "./rank.ts";
import {
  type AgedDigest,
  DIGEST_FRESH_MS,
  RegionDigests,
} from "./region_digests.ts";

/** Pause between heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 400;
/** Silence after which a monitored member is suspect: four heartbeats in a row. */
export const SUSPECT_AFTER_MS = 1_650;
/** Time that a suspect has to refute, in milliseconds. */
export const DEAD_AFTER_SUSPECT_MS = 700;
const MONITORS = 2;
const SMALL_REGION = 4;
const OBSERVERS = 2;
const DIGEST_EVERY_TICKS = 3;
const DIGESTS_PER_MESSAGE = 2;
const RUMOUR_TICKS = 6;
const RUMOURS_PER_MESSAGE = 6;
const RETRY_DEAD_EVERY_TICKS = 5;
const DIGEST_GATEWAYS = 3;

/** What a membership is created from. */
export interface MembershipParts {
  readonly self: InstanceRecord;
  /** Number of this start; must grow with each start. */
  readonly incarnation: number;
  readonly random: Random;
}

/** A message and whom it goes to. */
export interface Outgoing {
  readonly to: InstanceRecord;
  readonly heartbeat: Heartbeat;
}

/** What a tick needs to know of the rest of the daemon. */
export interface LocalReport {
  readonly configuration: number;
  /** Free capacity of the services of the own region. */
  readonly services: readonly ServiceDigest[];
}

interface HeldRumour {
  readonly rumour: Rumour;
  ticksLeft: number;
}

/**
 * Who is live, leaving, suspect or dead, as one instance sees it. Members of a
 * region watch each other in a ring and spread rumours; two observers a region
 * exchange digests with other regions. Without input or output of its own: the
 * caller delivers what it returns.
 *
 * Suspicion and refutation follow SWIM (Das, Gupta and Motivala, 2002).
 */
export class Membership {
  /** Messages that were dropped since they were older than what is known. */
  staleCount = 0;
  readonly #self: InstanceRecord;
  readonly #random: Random;
  #incarnation: number;
  #sequence = 0;
  #ticks = 0;
  #isLeaving = false;
  readonly #members = new Map<InstanceId, Member>();
  #others = new Map<InstanceId, InstanceRecord>();
  readonly #digests = new RegionDigests();
  readonly #rumours = new Map<InstanceId, HeldRumour>();
  #monitored: readonly InstanceId[] = [];
  #newestHeard = 0;

  /** @param parts Own record, incarnation and random source. */
  constructor(parts: MembershipParts) {
    this.#self = parts.self;
    this.#incarnation = parts.incarnation;
    this.#random = parts.random;
  }

  /** Own record. */
  get self(): InstanceRecord {
    return this.#self;
  }

  /** Own incarnation. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether this instance is leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Highest configuration that any peer or region has reported. */
  get newestHeard(): number {
    return this.#newestHeard;
  }

  /** Members of the own region, without itself. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** All instances that the platform lists, without itself. */
  get listed(): readonly InstanceRecord[] {
    return [
      ...this.members.map(({ record }) => record),
      ...this.#others.values(),
    ];
  }

  /** Members of the own region that may get work, with itself unless it is leaving. */
  get liveIds(): readonly InstanceId[] {
    const live = this.members.filter(isServing).map(({ record }) => record.id);
    return this.#isLeaving ? live : [this.#self.id, ...live];
  }

  /** Returns the record of a listed instance. */
  readRecord(id: InstanceId): InstanceRecord | undefined {
    return this.#members.get(id)?.record ?? this.#others.get(id);
  }

  /** Whether this instance is one of the observers of its region. */
  get isObserver(): boolean {
    return rankNames(this.#self.region, this.liveIds).slice(0, OBSERVERS)
      .includes(this.#self.id);
  }

  /** Whether this instance is the first of the observers of its region. */
  get isFirstObserver(): boolean {
    return rankNames(this.#self.region, this.liveIds)[0] === this.#self.id;
  }

  /** The newest digest of each other region, with its age in milliseconds. */
  readDigests(nowMs: number): readonly AgedDigest[] {
    return this.#digests.readNewest(this.#self.region, nowMs);
  }

  /** Returns instances of another region that may take work, the best known first. */
  readGateways(region: RegionId, nowMs: number): readonly InstanceRecord[] {
    const fresh = this.readDigests(nowMs).find(({ digest, ageMs }) =>
      digest.region === region && ageMs < DIGEST_FRESH_MS
    );
    const told = (fresh?.digest.gateways ?? []).map((id) =>
      this.#others.get(id)
    );
    const listed = [...this.#others.values()].filter((record) =>
      record.region === region && !record.isLeaving
    );
    return [...new Set([...told, ...listed])].filter((record) =>
      record !== undefined
    );
  }

  /** Says to all peers from now on that this instance is leaving. */
  markLeaving(): void {
    this.#isLeaving = true;
  }

  /**
   * Takes the platform's list, which lags: it adds and removes, but does not
   * overrule what was heard.
   *
   * @param records All listed instances.
   * @param nowMs Time now.
   */
  applyList(records: readonly InstanceRecord[], nowMs: number): void {
    const others = records.filter(({ id }) => id !== this.#self.id);
    const listed = new Set(others.map(({ id }) => id));
    [...this.#members.keys()].filter((id) => !listed.has(id))
      .filter((id) => !isServing(this.#members.get(id)!))
      .forEach((id) => this.#members.delete(id));
    others.filter(({ region }) => region === this.#self.region)
      .forEach((record) => this.#addListed(record, nowMs));
    this.#others = new Map(
      others.filter(({ region }) => region !== this.#self.region)
        .map((record) => [record.id, record]),
    );
    this.#chooseMonitored();
  }

  /**
   * Takes a heartbeat.
   *
   * @param heartbeat From a peer.
   * @param nowMs Time now.
   * @returns Answers to send at once.
   */
  applyHeartbeat(heartbeat: Heartbeat, nowMs: number): readonly Outgoing[] {
    heartbeat.digests.forEach((digest) => this.#applyDigest(digest, nowMs));
    this.#newestHeard = Math.max(this.#newestHeard, heartbeat.configuration);
    if (heartbeat.region !== this.#self.region) return [];
    const answers = this.#applySender(heartbeat, nowMs);
    const heard = heartbeat.rumours.flatMap((rumour) =>
      this.#applyRumour(rumour, nowMs)
    );
    return [...answers, ...heard];
  }

  /**
   * Decides what to send now.
   *
   * @param local Own configuration and capacity.
   * @param nowMs Time now.
   */
  decideTick(local: LocalReport, nowMs: number): readonly Outgoing[] {
    this.#ticks++;
    this.#sequence++;
    this.#newestHeard = Math.max(this.#newestHeard, local.configuration);
    const urgent = this.#judgeSilence(local, nowMs);
    const withDigests = this.#ticks % DIGEST_EVERY_TICKS === 0;
    const own = withDigests && this.isObserver
      ? [this.#createDigest(local)]
      : [];
    own.forEach((digest) => this.#digests.apply(digest, nowMs));
    const targets = this.#pickTargets();
    const regular = targets.map((to, index) => ({
      to,
      heartbeat: this.#createHeartbeat(
        local.configuration,
        withDigests && index === targets.length - 1
          ? this.#pickDigests(own, nowMs)
          : [],
      ),
    }));
    const across = own.length === 0 ? [] : this.#pickAcross().map((to) => ({
      to,
      heartbeat: this.#createHeartbeat(
        local.configuration,
        this.#pickDigests(own, nowMs),
      ),
    }));
    this.#ageRumours();
    return [...urgent, ...regular, ...across];
  }

  /** Returns a heartbeat for every member: to say at once that this instance leaves. */
  createFarewell(configuration: number): readonly Outgoing[] {
    this.#sequence++;
    const heartbeat = this.#createHeartbeat(configuration, []);
    return this.members.map(({ record }) => ({ to: record, heartbeat }));
  }

  #addListed(record: InstanceRecord, nowMs: number): void {
    const known = this.#members.get(record.id);
    if (known !== undefined) {
      if (record.isLeaving && known.status !== "dead") known.status = "leaving";
      if (known.record.peerAddress === record.peerAddress) return;
      this.#members.set(record.id, { ...known, record });
      return;
    }
    this.#members.set(record.id, {
      record,
      status: record.isLeaving ? "leaving" : "listed",
      incarnation: 0,
      sequence: 0,
      heardMs: nowMs,
      suspectMs: 0,
      configuration: 0,
    });
  }

  #applySender(heartbeat: Heartbeat, nowMs: number): readonly Outgoing[] {
    const member = this.#members.get(heartbeat.from);
    if (member === undefined) return [];
    if (
      member.status === "dead" && heartbeat.incarnation <= member.incarnation
    ) {
      this.staleCount++;
      return [this.#tellOfDeath(member)];
    }
    const isOlder = heartbeat.incarnation < member.incarnation ||
      (heartbeat.incarnation === member.incarnation &&
        heartbeat.sequence <= member.sequence);
    if (isOlder) {
      this.staleCount++;
      return [];
    }
    const wasServing = isServing(member) && member.status !== "listed";
    member.incarnation = heartbeat.incarnation;
    member.sequence = heartbeat.sequence;
    member.heardMs = nowMs;
    member.configuration = heartbeat.configuration;
    member.status = heartbeat.isLeaving ? "leaving" : "live";
    const held = this.#rumours.get(heartbeat.from);
    if (held !== undefined && held.rumour.status !== "leaving") {
      this.#rumours.delete(heartbeat.from);
    }
    if (heartbeat.isLeaving && wasServing) {
      this.#spread(toRumour(member, "leaving"));
    }
    if (!wasServing) this.#chooseMonitored();
    return [];
  }

  #tellOfDeath(member: Member): Outgoing {
    const heartbeat = this.#createHeartbeat(0, []);
    return {
      to: member.record,
      heartbeat: { ...heartbeat, rumours: [toRumour(member, "dead")] },
    };
  }

  #applyRumour(rumour: Rumour, nowMs: number): readonly Outgoing[] {
    if (rumour.id === this.#self.id) return this.#refute(rumour);
    const member = this.#members.get(rumour.id);
    if (member === undefined || rumour.incarnation < member.incarnation) {
      return [];
    }
    const wasHeardJustNow =
      nowMs - member.heardMs < 2 * HEARTBEAT_INTERVAL_MS &&
      rumour.incarnation === member.incarnation;
    switch (rumour.status) {
      case "leaving":
        if (member.status === "leaving" || member.status === "dead") return [];
        member.status = "leaving";
        this.#spread(rumour);
        return [];
      case "suspect":
        if (member.status === "live" && !wasHeardJustNow) {
          member.status = "suspect";
          member.suspectMs = nowMs;
        }
        return [];
      case "dead":
        if (member.status === "dead" || wasHeardJustNow) return [];
        this.#bury(member, rumour.incarnation);
        return [];
    }
  }

  /** Answers a rumour about itself with a higher incarnation. */
  #refute(rumour: Rumour): readonly Outgoing[] {
    if (rumour.status === "leaving" || rumour.incarnation < this.#incarnation) {
      return [];
    }
    this.#incarnation = rumour.incarnation + 1;
    return this.createFarewell(this.#newestHeard);
  }

  #bury(member: Member, incarnation: number): void {
    member.status = "dead";
    member.incarnation = Math.max(member.incarnation, incarnation);
    this.#spread(toRumour(member, "dead"));
    this.#chooseMonitored();
  }

  #judgeSilence(local: LocalReport, nowMs: number): readonly Outgoing[] {
    const monitored = new Set(this.#monitored);
    const silent = this.members.filter((member) =>
      monitored.has(member.record.id)
    )
      .filter((member) => ["live", "leaving", "listed"].includes(member.status))
      .filter((member) => nowMs - member.heardMs >= SUSPECT_AFTER_MS);
    silent.forEach((member) => {
      member.status = "suspect";
      member.suspectMs = nowMs;
    });
    const expired = this.members.filter((member) =>
      member.status === "suspect" &&
      nowMs - member.suspectMs >= DEAD_AFTER_SUSPECT_MS
    );
    expired.forEach((member) => this.#bury(member, member.incarnation));
    const rumours = [
      ...silent.map((member) => toRumour(member, "suspect")),
      ...expired.map((member) => toRumour(member, "dead")),
    ];
    if (rumours.length === 0) return [];
    const heartbeat = {
      ...this.#createHeartbeat(local.configuration, []),
      rumours,
    };
    return this.members.filter(({ status }) => status !== "dead")
      .map(({ record }) => ({ to: record, heartbeat }));
  }

  #chooseMonitored(): void {
    const ids = [...this.#members.values()].filter(({ status }) =>
      status !== "dead"
    )
      .map(({ record }) => record.id);
    const ring = rankNames("ring", [...ids, this.#self.id]);
    const at = ring.indexOf(this.#self.id);
    const before = Array.from(
      { length: Math.min(MONITORS, ids.length) },
      (_, step) => ring[(at - 1 - step + ring.length) % ring.length]!,
    );
    const added = before.filter((id) => !this.#monitored.includes(id));
    this.#monitored = ids.length < SMALL_REGION ? ids : before;
    // Who is newly monitored gets the full time: it did not have to send here before.
    added.map((id) => this.#members.get(id)!)
      .filter((member) => member.status !== "listed")
      .forEach((member) => {
        member.heardMs = Math.max(member.heardMs, this.#lastTickMs(member));
      });
  }

  #lastTickMs(member: Member): number {
    return Math.max(
      member.heardMs,
      ...this.members.map(({ heardMs }) => heardMs),
    );
  }

  #pickTargets(): readonly InstanceRecord[] {
    const alive = this.members.filter(({ status }) => status !== "dead")
      .map(({ record }) => record);
    const dead = this.members.filter(({ status }) => status === "dead")
      .map(({ record }) => record);
    const retried = this.#ticks % RETRY_DEAD_EVERY_TICKS === 0
      ? pickRandom(dead, this.#random)
      : undefined;
    const extra = retried === undefined ? [] : [retried];
    if (alive.length < SMALL_REGION) return [...alive, ...extra];
    const ring = rankNames("ring", [
      ...alive.map(({ id }) => id),
      this.#self.id,
    ]);
    const at = ring.indexOf(this.#self.id);
    const after = Array.from(
      { length: MONITORS },
      (_, step) => ring[(at + 1 + step) % ring.length]!,
    );
    const random = pickRandom(
      alive.filter(({ id }) => !after.includes(id)),
      this.#random,
    );
    const monitors = after.map((id) => this.#members.get(id)!.record);
    return [...monitors, ...(random === undefined ? [] : [random]), ...extra];
  }

  #pickAcross(): readonly InstanceRecord[] {
    const regions = [
      ...new Set([...this.#others.values()].map(({ region }) => region)),
    ];
    const region = pickRandom(regions, this.#random);
    if (region === undefined) return [];
    const candidates = [...this.#others.values()].filter((record) =>
      record.region === region
    );
    const gateways = this.#digests.listGateways(region);
    const told = gateways.filter((id) =>
      candidates.some((record) => record.id === id)
    );
    const known = candidates.filter(({ id }) => told.includes(id));
    const isTold = known.length > 0 && this.#random.nextFloat() < 0.8;
    const target = pickRandom(isTold ? known : candidates, this.#random);
    return target === undefined ? [] : [target];
  }

  #createDigest(local: LocalReport): RegionDigest {
    const serving = this.members.filter((member) =>
      isServing(member) && member.status !== "listed"
    );
    const sequences = [
      local.configuration,
      ...serving.map((member) => member.configuration),
    ];
    const gateways = rankNames(`gateways ${this.#ticks >> 5}`, this.liveIds)
      .slice(0, DIGEST_GATEWAYS);
    return {
      region: this.#self.region,
      author: this.#self.id,
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      configuration: [Math.min(...sequences), Math.max(...sequences)],
      liveCount: this.liveIds.length,
      gateways,
      services: local.services,
    };
  }

  #applyDigest(digest: RegionDigest, nowMs: number): void {
    const isOwn = digest.region === this.#self.region &&
      digest.author === this.#self.id;
    if (isOwn) return;
    this.#newestHeard = Math.max(this.#newestHeard, digest.configuration[1]);
    this.#digests.apply(digest, nowMs);
  }

  #pickDigests(
    own: readonly RegionDigest[],
    nowMs: number,
  ): readonly RegionDigest[] {
    const fresh = this.#digests.pickFresh(this.#self.id, nowMs, this.#random);
    return [...own, ...fresh].slice(0, DIGESTS_PER_MESSAGE);
  }

  #createHeartbeat(
    configuration: number,
    digests: readonly RegionDigest[],
  ): Heartbeat {
    return {
      from: this.#self.id,
      region: this.#self.region,
      incarnation: this.#incarnation,
      sequence: ++this.#sequence,
      isLeaving: this.#isLeaving,
      configuration,
      rumours: [...this.#rumours.values()].slice(-RUMOURS_PER_MESSAGE)
        .map(({ rumour }) => rumour),
      digests,
    };
  }

  #spread(rumour: Rumour): void {
    this.#rumours.set(rumour.id, { rumour, ticksLeft: RUMOUR_TICKS });
  }

  #ageRumours(): void {
    this.#rumours.forEach((held, id) => {
      if (--held.ticksLeft <= 0) this.#rumours.delete(id);
    });
  }
}

function isServing({ status }: Member): boolean {
  return status === "live" || status === "suspect" || status === "listed";
}

function toRumour(member: Member, status: Rumour["status"]): Rumour {
  return { id: member.record.id, incarnation: member.incarnation, status };
}
