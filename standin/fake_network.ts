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

/** The methods of a daemon that the network calls. */
export interface FakePeer {
  receiveHeartbeat(heartbeat: Heartbeat): void;
  handlePeerCall<Method extends PeerMethod>(
    method: Method,
    params: PeerMethods[Method]["params"],
  ): Promise<PeerMethods[Method]["result"]>;
}

/** Traffic of one daemon, in bytes and messages. */
export interface TrafficCounts {
  /** Bytes of heartbeats sent. */
  sentBytes: number;
  /** Bytes of heartbeats received. */
  receivedBytes: number;
  heartbeats: number;
  calls: number;
  /** Bytes of the calls that the daemon made, with their answers. */
  callBytes: number;
}

const UDP_HEADER_BYTES = 28;
/** Bytes that HTTP and TCP headers add to a call and its answer together. */
const CALL_HEADER_BYTES = 420;
const CALL_TIMEOUT_MS = 1_000;
const HEARTBEAT_KEY = "a key of sixteen bytes";

/** A network in memory that simulates latency, packet loss and cut connections, and counts traffic. */
export class FakeNetwork {
  /** Fraction of heartbeats that are lost, from 0 to 1. */
  lossShare = 0;
  /** One-way latency between regions, in milliseconds. */
  remoteLatencyMs = 25;
  /** One-way latency inside a region, in milliseconds. */
  localLatencyMs = 1.5;
  /** Regions whose connections to all other regions are cut. */
  readonly cutRegions = new Set<string>();
  /** Ids of paused or dead instances, which send and receive nothing. */
  readonly silent = new Set<string>();
  /** Traffic by id of the instance. */
  readonly counts = new Map<string, TrafficCounts>();
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #peers = new Map<string, FakePeer>();

  /**
   * @param clock Source of time.
   * @param random Source of random numbers, which decide whether a heartbeat is lost.
   */
  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Connects a daemon to the network. */
  connect(record: InstanceRecord, peer: FakePeer): void {
    this.#peers.set(record.id, peer);
  }

  /** Disconnects a daemon from the network. */
  disconnect(id: string): void {
    this.#peers.delete(id);
  }

  /** Returns the traffic of one daemon. */
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

  /** Returns whether messages from one instance currently reach another. */
  canReach(from: InstanceRecord, to: InstanceRecord): boolean {
    if (this.silent.has(from.id) || this.silent.has(to.id)) return false;
    const isCut = this.cutRegions.has(from.region) ||
      this.cutRegions.has(to.region);
    return from.region === to.region || !isCut;
  }

  /** Returns the one-way latency between two instances, in milliseconds. */
  readLatencyMs(from: InstanceRecord, to: InstanceRecord): number {
    return from.region === to.region
      ? this.localLatencyMs
      : this.remoteLatencyMs;
  }

  /** Returns the transport that a daemon uses to reach its peers. */
  createTransport(self: InstanceRecord): PeerTransport {
    return {
      send: (to, heartbeat) => this.#send(self, to, heartbeat),
      call: (to, method, params) => this.#call(self, to, { method, params }),
    };
  }

  #send(from: InstanceRecord, to: InstanceRecord, heartbeat: Heartbeat): void {
    const bytes = encodeHeartbeat(heartbeat, HEARTBEAT_KEY).length +
      UDP_HEADER_BYTES;
    const counts = this.readCounts(from.id);
    counts.sentBytes += bytes;
    counts.heartbeats++;
    if (!this.canReach(from, to) || this.#random.nextFloat() < this.lossShare) {
      return;
    }
    this.#clock.schedule(this.readLatencyMs(from, to), () => {
      if (!this.canReach(from, to)) return;
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
    if (!this.canReach(from, to)) {
      await waitFor(this.#clock, CALL_TIMEOUT_MS);
      return err({
        kind: "unknown",
        message: "Cannot reach the peer: no answer within the timeout",
      });
    }
    await waitFor(this.#clock, latencyMs);
    const peer = this.#peers.get(to.id);
    if (peer === undefined) {
      return err({
        kind: "unreachable",
        message: "Cannot reach the peer: it is down",
      });
    }
    const result = await peer.handlePeerCall(method, params);
    await waitFor(this.#clock, latencyMs);
    counts.callBytes += JSON.stringify({ params, result }).length +
      CALL_HEADER_BYTES;
    if (this.canReach(from, to)) return ok(result);
    return err({
      kind: "unknown",
      message: "Cannot read the answer of the peer: it was lost",
    });
  }
}
