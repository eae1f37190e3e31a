import type { Random } from "../clock/mod.ts";
import { pickRandom } from "../clock/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import type {
  Heartbeat,
  InstanceRecord,
  Member,
  RegionDigest,
  ServiceDigest,
  StatusGossip,
} from "./member.ts";
import { rankNames } from "./rank.ts";
import {
  type AgedDigest,
  DIGEST_FRESH_MS,
  RegionDigests,
} from "./region_digests.ts";

/** Pause between heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 400;
/**
 * Silence after which a monitored member becomes suspect, in milliseconds: four
 * missed heartbeats in a row.
 */
export const SUSPECT_AFTER_MS = 1_650;
/** Time that a suspect member has to refute the suspicion, in milliseconds. */
export const DEAD_AFTER_SUSPECT_MS = 700;
/** Predecessors in the ring that each member monitors. */
const MONITORS_PER_MEMBER = 2;
/** Number of other members below which each member monitors all others. */
const RING_MIN_PEERS = 4;
const OBSERVERS_PER_REGION = 2;
const DIGEST_INTERVAL_TICKS = 3;
const MAX_DIGESTS_PER_MESSAGE = 2;
const GOSSIP_LIFETIME_TICKS = 6;
const MAX_GOSSIP_PER_MESSAGE = 6;
const DEAD_RETRY_INTERVAL_TICKS = 5;
const GATEWAYS_PER_DIGEST = 3;

/** Constructor arguments of {@linkcode Membership}. */
export interface MembershipParts {
  readonly self: InstanceRecord;
  /** Number of this start of the process; must grow with each start. */
  readonly incarnation: number;
  readonly random: Random;
}

/** A heartbeat to send, with its receiver. */
export interface OutgoingHeartbeat {
  readonly to: InstanceRecord;
  readonly heartbeat: Heartbeat;
}

/** State of the rest of the daemon that goes into the heartbeats of a tick. */
export interface LocalState {
  /** Sequence number of the configuration in force. */
  readonly configuration: number;
  /** Free capacity of the services of the local region. */
  readonly services: readonly ServiceDigest[];
}

interface QueuedGossip {
  readonly gossip: StatusGossip;
  ticksLeft: number;
}

/**
 * Tracks which instances are live, leaving, suspect or dead, as seen by this
 * instance. The members of a region monitor each other in a ring and gossip about
 * status changes; two observers per region exchange digests with other regions.
 * The class does no input or output: the calling code sends the heartbeats that
 * its methods return.
 *
 * Suspicion and refutation follow SWIM (Das, Gupta and Motivala, 2002).
 */
export class Membership {
  /** Number of heartbeats dropped as older than what is known of their sender. */
  staleCount = 0;
  readonly #self: InstanceRecord;
  readonly #random: Random;
  #incarnation: number;
  #sequence = 0;
  #ticks = 0;
  #isLeaving = false;
  readonly #members = new Map<InstanceId, Member>();
  #remoteInstances = new Map<InstanceId, InstanceRecord>();
  readonly #digests = new RegionDigests();
  readonly #gossip = new Map<InstanceId, QueuedGossip>();
  #monitored: readonly InstanceId[] = [];
  #newestConfiguration = 0;

  /** @param parts Own record, incarnation and random source. */
  constructor(parts: MembershipParts) {
    this.#self = parts.self;
    this.#incarnation = parts.incarnation;
    this.#random = parts.random;
  }

  /** Record of this instance. */
  get self(): InstanceRecord {
    return this.#self;
  }

  /** Incarnation of this instance. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether this instance is leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Highest configuration sequence number that any peer or region has reported. */
  get newestConfiguration(): number {
    return this.#newestConfiguration;
  }

  /** Members of the local region, without this instance. */
  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Members of the local region and instances of all others, without this instance. */
  get listedInstances(): readonly InstanceRecord[] {
    return [
      ...this.members.map(({ record }) => record),
      ...this.#remoteInstances.values(),
    ];
  }

  /** Members of the local region that accept work, with this instance unless it is leaving. */
  get liveIds(): readonly InstanceId[] {
    const live = this.members.filter(isServing).map(({ record }) => record.id);
    return this.#isLeaving ? live : [this.#self.id, ...live];
  }

  /** Returns the record of an instance, or `undefined` if it is not known. */
  readRecord(id: InstanceId): InstanceRecord | undefined {
    return this.#members.get(id)?.record ?? this.#remoteInstances.get(id);
  }

  /** Whether this instance is one of the observers of its region. */
  get isObserver(): boolean {
    return rankNames(this.#self.region, this.liveIds).slice(
      0,
      OBSERVERS_PER_REGION,
    )
      .includes(this.#self.id);
  }

  /** Whether this instance is the first observer of its region. */
  get isFirstObserver(): boolean {
    return rankNames(this.#self.region, this.liveIds)[0] === this.#self.id;
  }

  /** Returns the newest digest of each remote region, with its age in milliseconds. */
  readDigests(nowMs: number): readonly AgedDigest[] {
    return this.#digests.readNewest(this.#self.region, nowMs);
  }

  /**
   * Returns instances of a remote region that accept work: first the gateways that
   * its digest names, then all others that the platform lists.
   */
  readGateways(region: RegionId, nowMs: number): readonly InstanceRecord[] {
    const fresh = this.readDigests(nowMs).find(({ digest, ageMs }) =>
      digest.region === region && ageMs < DIGEST_FRESH_MS
    );
    const named = (fresh?.digest.gateways ?? []).map((id) =>
      this.#remoteInstances.get(id)
    );
    const listed = [...this.#remoteInstances.values()].filter((record) =>
      record.region === region && !record.isLeaving
    );
    return [...new Set([...named, ...listed])].filter((record) =>
      record !== undefined
    );
  }

  /** Marks this instance as leaving in all heartbeats from now on. */
  markLeaving(): void {
    this.#isLeaving = true;
  }

  /**
   * Applies the platform's list of instances. The list lags behind, so that it adds
   * and removes members but does not override a status learned from heartbeats.
   *
   * @param records All listed instances.
   * @param nowMs Current time, in milliseconds.
   */
  applyInstanceList(records: readonly InstanceRecord[], nowMs: number): void {
    const others = records.filter(({ id }) => id !== this.#self.id);
    const listed = new Set(others.map(({ id }) => id));
    [...this.#members.keys()].filter((id) => !listed.has(id))
      .filter((id) => !isServing(this.#members.get(id)!))
      .forEach((id) => this.#members.delete(id));
    others.filter(({ region }) => region === this.#self.region)
      .forEach((record) => this.#addListed(record, nowMs));
    this.#remoteInstances = new Map(
      others.filter(({ region }) => region !== this.#self.region)
        .map((record) => [record.id, record]),
    );
    this.#chooseMonitored();
  }

  /**
   * Applies a received heartbeat.
   *
   * @param heartbeat Heartbeat of a peer.
   * @param nowMs Current time, in milliseconds.
   * @returns Heartbeats to send at once.
   */
  applyHeartbeat(
    heartbeat: Heartbeat,
    nowMs: number,
  ): readonly OutgoingHeartbeat[] {
    heartbeat.digests.forEach((digest) => this.#applyDigest(digest, nowMs));
    this.#newestConfiguration = Math.max(
      this.#newestConfiguration,
      heartbeat.configuration,
    );
    if (heartbeat.region !== this.#self.region) return [];
    const answers = this.#applySender(heartbeat, nowMs);
    const refutations = heartbeat.gossip.flatMap((gossip) =>
      this.#applyGossip(gossip, nowMs)
    );
    return [...answers, ...refutations];
  }

  /**
   * Advances by one tick: updates the status of silent members and returns the
   * heartbeats to send.
   *
   * @param local Configuration and free capacity of this instance's region.
   * @param nowMs Current time, in milliseconds.
   */
  advanceTick(local: LocalState, nowMs: number): readonly OutgoingHeartbeat[] {
    this.#ticks++;
    this.#sequence++;
    this.#newestConfiguration = Math.max(
      this.#newestConfiguration,
      local.configuration,
    );
    const urgent = this.#detectFailures(local, nowMs);
    const withDigests = this.#ticks % DIGEST_INTERVAL_TICKS === 0;
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
    const remote = own.length === 0
      ? []
      : this.#pickRemoteTargets().map((to) => ({
        to,
        heartbeat: this.#createHeartbeat(
          local.configuration,
          this.#pickDigests(own, nowMs),
        ),
      }));
    this.#expireGossip();
    return [...urgent, ...regular, ...remote];
  }

  /**
   * Returns a heartbeat for each member of the local region, to be sent outside the
   * regular interval, such as at the start of a graceful shutdown.
   */
  createBroadcast(configuration: number): readonly OutgoingHeartbeat[] {
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
      receivedMs: nowMs,
      suspectSinceMs: 0,
      configuration: 0,
    });
  }

  #applySender(
    heartbeat: Heartbeat,
    nowMs: number,
  ): readonly OutgoingHeartbeat[] {
    const member = this.#members.get(heartbeat.from);
    if (member === undefined) return [];
    if (
      member.status === "dead" && heartbeat.incarnation <= member.incarnation
    ) {
      this.staleCount++;
      return [this.#createDeathNotice(member)];
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
    member.receivedMs = nowMs;
    member.configuration = heartbeat.configuration;
    member.status = heartbeat.isLeaving ? "leaving" : "live";
    const queued = this.#gossip.get(heartbeat.from);
    if (queued !== undefined && queued.gossip.status !== "leaving") {
      this.#gossip.delete(heartbeat.from);
    }
    if (heartbeat.isLeaving && wasServing) {
      this.#enqueueGossip(toGossip(member, "leaving"));
    }
    if (!wasServing) this.#chooseMonitored();
    return [];
  }

  #createDeathNotice(member: Member): OutgoingHeartbeat {
    const heartbeat = this.#createHeartbeat(0, []);
    return {
      to: member.record,
      heartbeat: { ...heartbeat, gossip: [toGossip(member, "dead")] },
    };
  }

  #applyGossip(
    gossip: StatusGossip,
    nowMs: number,
  ): readonly OutgoingHeartbeat[] {
    if (gossip.id === this.#self.id) return this.#refute(gossip);
    const member = this.#members.get(gossip.id);
    if (member === undefined || gossip.incarnation < member.incarnation) {
      return [];
    }
    const isRecent = nowMs - member.receivedMs < 2 * HEARTBEAT_INTERVAL_MS &&
      gossip.incarnation === member.incarnation;
    switch (gossip.status) {
      case "leaving":
        if (member.status === "leaving" || member.status === "dead") return [];
        member.status = "leaving";
        this.#enqueueGossip(gossip);
        return [];
      case "suspect":
        if (member.status === "live" && !isRecent) {
          member.status = "suspect";
          member.suspectSinceMs = nowMs;
        }
        return [];
      case "dead":
        if (member.status === "dead" || isRecent) return [];
        this.#markDead(member, gossip.incarnation);
        return [];
    }
  }

  /** Refutes a suspicion of this instance by a higher incarnation. */
  #refute(gossip: StatusGossip): readonly OutgoingHeartbeat[] {
    if (gossip.status === "leaving" || gossip.incarnation < this.#incarnation) {
      return [];
    }
    this.#incarnation = gossip.incarnation + 1;
    return this.createBroadcast(this.#newestConfiguration);
  }

  #markDead(member: Member, incarnation: number): void {
    member.status = "dead";
    member.incarnation = Math.max(member.incarnation, incarnation);
    this.#enqueueGossip(toGossip(member, "dead"));
    this.#chooseMonitored();
  }

  #detectFailures(
    local: LocalState,
    nowMs: number,
  ): readonly OutgoingHeartbeat[] {
    const monitored = new Set(this.#monitored);
    const silent = this.members.filter((member) =>
      monitored.has(member.record.id)
    )
      .filter((member) => ["live", "leaving", "listed"].includes(member.status))
      .filter((member) => nowMs - member.receivedMs >= SUSPECT_AFTER_MS);
    silent.forEach((member) => {
      member.status = "suspect";
      member.suspectSinceMs = nowMs;
    });
    const expired = this.members.filter((member) =>
      member.status === "suspect" &&
      nowMs - member.suspectSinceMs >= DEAD_AFTER_SUSPECT_MS
    );
    expired.forEach((member) => this.#markDead(member, member.incarnation));
    const gossip = [
      ...silent.map((member) => toGossip(member, "suspect")),
      ...expired.map((member) => toGossip(member, "dead")),
    ];
    if (gossip.length === 0) return [];
    const heartbeat = {
      ...this.#createHeartbeat(local.configuration, []),
      gossip,
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
    const predecessors = Array.from(
      { length: Math.min(MONITORS_PER_MEMBER, ids.length) },
      (_, step) => ring[(at - 1 - step + ring.length) % ring.length]!,
    );
    const added = predecessors.filter((id) => !this.#monitored.includes(id));
    this.#monitored = ids.length < RING_MIN_PEERS ? ids : predecessors;
    // A newly monitored member gets the full timeout, since it did not have to send
    // heartbeats to this instance before.
    added.map((id) => this.#members.get(id)!)
      .filter((member) => member.status !== "listed")
      .forEach((member) => {
        member.receivedMs = Math.max(
          member.receivedMs,
          this.#findLatestReceivedMs(member),
        );
      });
  }

  #findLatestReceivedMs(member: Member): number {
    return Math.max(
      member.receivedMs,
      ...this.members.map(({ receivedMs }) => receivedMs),
    );
  }

  #pickTargets(): readonly InstanceRecord[] {
    const alive = this.members.filter(({ status }) => status !== "dead")
      .map(({ record }) => record);
    const dead = this.members.filter(({ status }) => status === "dead")
      .map(({ record }) => record);
    const retried = this.#ticks % DEAD_RETRY_INTERVAL_TICKS === 0
      ? pickRandom(dead, this.#random)
      : undefined;
    const extra = retried === undefined ? [] : [retried];
    if (alive.length < RING_MIN_PEERS) return [...alive, ...extra];
    const ring = rankNames("ring", [
      ...alive.map(({ id }) => id),
      this.#self.id,
    ]);
    const at = ring.indexOf(this.#self.id);
    const successors = Array.from(
      { length: MONITORS_PER_MEMBER },
      (_, step) => ring[(at + 1 + step) % ring.length]!,
    );
    const random = pickRandom(
      alive.filter(({ id }) => !successors.includes(id)),
      this.#random,
    );
    const monitors = successors.map((id) => this.#members.get(id)!.record);
    return [...monitors, ...(random === undefined ? [] : [random]), ...extra];
  }

  #pickRemoteTargets(): readonly InstanceRecord[] {
    const regions = [
      ...new Set(
        [...this.#remoteInstances.values()].map(({ region }) => region),
      ),
    ];
    const region = pickRandom(regions, this.#random);
    if (region === undefined) return [];
    const candidates = [...this.#remoteInstances.values()].filter((record) =>
      record.region === region
    );
    const gateways = this.#digests.listGateways(region);
    const knownGateways = gateways.filter((id) =>
      candidates.some((record) => record.id === id)
    );
    const gatewayRecords = candidates.filter(({ id }) =>
      knownGateways.includes(id)
    );
    const prefersGateway = gatewayRecords.length > 0 &&
      this.#random.nextFloat() < 0.8;
    const target = pickRandom(
      prefersGateway ? gatewayRecords : candidates,
      this.#random,
    );
    return target === undefined ? [] : [target];
  }

  #createDigest(local: LocalState): RegionDigest {
    const serving = this.members.filter((member) =>
      isServing(member) && member.status !== "listed"
    );
    const sequences = [
      local.configuration,
      ...serving.map((member) => member.configuration),
    ];
    const gateways = rankNames(`gateways ${this.#ticks >> 5}`, this.liveIds)
      .slice(0, GATEWAYS_PER_DIGEST);
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
    this.#newestConfiguration = Math.max(
      this.#newestConfiguration,
      digest.configuration[1],
    );
    this.#digests.apply(digest, nowMs);
  }

  #pickDigests(
    own: readonly RegionDigest[],
    nowMs: number,
  ): readonly RegionDigest[] {
    const fresh = this.#digests.pickFresh(this.#self.id, nowMs, this.#random);
    return [...own, ...fresh].slice(0, MAX_DIGESTS_PER_MESSAGE);
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
      gossip: [...this.#gossip.values()].slice(-MAX_GOSSIP_PER_MESSAGE)
        .map(({ gossip }) => gossip),
      digests,
    };
  }

  #enqueueGossip(gossip: StatusGossip): void {
    this.#gossip.set(gossip.id, {
      gossip,
      ticksLeft: GOSSIP_LIFETIME_TICKS,
    });
  }

  #expireGossip(): void {
    this.#gossip.forEach((queued, id) => {
      if (--queued.ticksLeft <= 0) this.#gossip.delete(id);
    });
  }
}

function isServing({ status }: Member): boolean {
  return status === "live" || status === "suspect" || status === "listed";
}

function toGossip(
  member: Member,
  status: StatusGossip["status"],
): StatusGossip {
  return { id: member.record.id, incarnation: member.incarnation, status };
}
