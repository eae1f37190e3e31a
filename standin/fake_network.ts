import { err, ok, type Result } from "neverthrow";
import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import {
  encodeHeartbeat,
  type Heartbeat,
  type InstanceRecord,
} from "../membership/mod.ts";
import type {
  PeerFailure,
  PeerMethod,
  PeerMethods,
  PeerTransport,
} from "../peers/mod.ts";

/** What a daemon offers to the network. */
export interface FakePeer {
  receiveHeartbeat(heartbeat: Heartbeat): void;
  handlePeerCall<Method extends PeerMethod>(
    method: Method,
    params: PeerMethods[Method]["params"],
  ): Promise<PeerMethods[Method]["result"]>;
}

/** Bytes and messages of one daemon. */
export interface TrafficCounts {
  sentBytes: number;
  receivedBytes: number;
  heartbeats: number;
  calls: number;
  callBytes: number;
}

const UDP_HEADER_BYTES = 28;
/** Bytes that the headers of HTTP and TCP add to a call, both ways. */
const CALL_HEADER_BYTES = 420;
const CALL_TIMEOUT_MS = 1_000;
const KEY = "a key of sixteen bytes";

/** A network in memory: latencies, losses, cuts, and counts of bytes. */
export class FakeNetwork {
  /** Share of heartbeats that are lost. */
  lossShare = 0;
  /** One-way latency between regions, in milliseconds. */
  farMs = 25;
  /** One-way latency inside a region, in milliseconds. */
  nearMs = 1.5;
  /** Regions that are cut off from all others. */
  readonly cutRegions = new Set<string>();
  /** Instances that are paused or dead: nothing reaches them or leaves them. */
  readonly silent = new Set<string>();
  readonly counts = new Map<string, TrafficCounts>();
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #peers = new Map<string, FakePeer>();

  /**
   * @param clock Source of time.
   * @param random Source of losses.
   */
  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Connects a daemon. */
  connect(record: InstanceRecord, peer: FakePeer): void {
    this.#peers.set(record.id, peer);
  }

  /** Disconnects a daemon. */
  disconnect(id: string): void {
    this.#peers.delete(id);
  }

  /** Returns the counts of one daemon. */
  readCounts(id: string): TrafficCounts {
    const known = this.counts.get(id);
    if (known !== undefined) return known;
    const counts = {
      sentBytes: 0,
      receivedBytes: 0,
      heartbeats: 0,
      calls: 0,
      callBytes: 0,
    };
    this.counts.set(id, counts);
    return counts;
  }

  /** Whether something from one place reaches another now. */
  isOpen(from: InstanceRecord, to: InstanceRecord): boolean {
    if (this.silent.has(from.id) || this.silent.has(to.id)) return false;
    const isCut = this.cutRegions.has(from.region) ||
      this.cutRegions.has(to.region);
    return from.region === to.region || !isCut;
  }

  /** One-way latency, in milliseconds. */
  readLatencyMs(from: InstanceRecord, to: InstanceRecord): number {
    return from.region === to.region ? this.nearMs : this.farMs;
  }

  /** Returns the transport of one daemon. */
  createTransport(self: InstanceRecord): PeerTransport {
    return {
      send: (to, heartbeat) => this.#send(self, to, heartbeat),
      call: (to, method, params) => this.#call(self, to, { method, params }),
    };
  }

  #send(from: InstanceRecord, to: InstanceRecord, heartbeat: Heartbeat): void {
    const bytes = encodeHeartbeat(heartbeat, KEY).length + UDP_HEADER_BYTES;
    const counts = this.readCounts(from.id);
    counts.sentBytes += bytes;
    counts.heartbeats++;
    if (!this.isOpen(from, to) || this.#random.nextFloat() < this.lossShare) {
      return;
    }
    this.#clock.schedule(this.readLatencyMs(from, to), () => {
      if (!this.isOpen(from, to)) return;
      this.readCounts(to.id).receivedBytes += bytes;
      this.#peers.get(to.id)?.receiveHeartbeat(heartbeat);
    });
  }

  async #call<Method extends PeerMethod>(
    from: InstanceRecord,
    to: InstanceRecord,
    call: {
      readonly method: Method;
      readonly params: PeerMethods[Method]["params"];
    },
  ): Promise<Result<PeerMethods[Method]["result"], PeerFailure>> {
    const { method, params } = call;
    const counts = this.readCounts(from.id);
    counts.calls++;
    const latencyMs = this.readLatencyMs(from, to);
    if (!this.isOpen(from, to)) {
      await waitFor(this.#clock, CALL_TIMEOUT_MS);
      return err({
        kind: "unknown",
        message: "Cannot reach the peer: no answer",
      });
    }
    await waitFor(this.#clock, latencyMs);
    const peer = this.#peers.get(to.id);
    if (peer === undefined) {
      return err({ kind: "unreachable", message: "The peer is down" });
    }
    const result = await peer.handlePeerCall(method, params);
    await waitFor(this.#clock, latencyMs);
    counts.callBytes += JSON.stringify({ params, result }).length +
      CALL_HEADER_BYTES;
    if (this.isOpen(from, to)) return ok(result);
    return err({
      kind: "unknown",
      message: "Cannot reach the peer: the answer is lost",
    });
  }
}
