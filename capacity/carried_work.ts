import type { InstanceLimits } from "./instance_capacity.ts";

/** File descriptors that connections leave free: for the store, reports, files and operators. */
const RESERVED_FILE_DESCRIPTORS = 200;
/** File descriptors of a call: a connection from its caller, and one to its server. */
const FILE_DESCRIPTORS_PER_CALL = 2;
/** Connections accepted beyond the bound, whose calls are refused with an answer. */
const REFUSED_CONNECTIONS = 64;
/**
 * Memory of a process without bodies, in MB: a day's largest was 67, and connections and
 * streams need some more.
 */
const BASE_MEMORY_MB = 100;
/** Share of the other memory for bodies, which are copied when they are read and sent. */
const BODY_MEMORY_SHARE = 1 / 3;
/** Share of the other memory for heads, which usually take far less. */
const HEAD_MEMORY_SHARE = 1 / 2;
/** Share of the heap for heads; the process itself and its tables need the rest. */
const HEAD_HEAP_SHARE = 0.4;
/**
 * Calls in progress for each core: a core handles 143 calls per second, at 7 ms of processor
 * time each (docs/design/processor_time.md), and calls last up to 12 s, the longest timeout.
 */
const CALLS_PER_CORE = 1_700;
const BYTES_PER_MB = 1_000_000;

/** A resource of which an instance has too little to carry a call. */
export type ScarceResource = "connections" | "memory" | "processor";

/**
 * Counts the connections, the calls in progress and the memory for their heads and bodies, and
 * decides which calls the instance can carry beside them. Limits that are unknown bound nothing.
 */
export class CarriedWork {
  readonly #maxConnections: number;
  /** Memory for heads and bodies. */
  readonly #callMemoryBytes: number;
  readonly #maxHeadBytes: number;
  readonly #maxCalls: number;
  #connections = 0;
  #calls = 0;
  #headBytes = 0;
  #bodyBytes = 0;

  /** @param limits Resources that the instance may use. */
  constructor({ cores, fileDescriptors, heapMb, memoryMb }: InstanceLimits) {
    this.#maxConnections = fileDescriptors === undefined
      ? Number.POSITIVE_INFINITY
      : Math.max(
        1,
        (fileDescriptors - RESERVED_FILE_DESCRIPTORS) /
          FILE_DESCRIPTORS_PER_CALL,
      );
    this.#callMemoryBytes = memoryMb === undefined
      ? Number.POSITIVE_INFINITY
      : BYTES_PER_MB * Math.max(1, memoryMb - BASE_MEMORY_MB);
    this.#maxHeadBytes = Math.min(
      HEAD_MEMORY_SHARE * this.#callMemoryBytes,
      HEAD_HEAP_SHARE * BYTES_PER_MB * (heapMb ?? Number.POSITIVE_INFINITY),
    );
    this.#maxCalls = cores === undefined
      ? Number.POSITIVE_INFINITY
      : Math.max(1, CALLS_PER_CORE * cores);
  }

  /** Calls in progress. */
  get calls(): number {
    return this.#calls;
  }

  /** Estimated memory for the heads of calls in progress, in bytes. */
  get headBytes(): number {
    return this.#headBytes;
  }

  /** Bytes reserved for bodies of calls in progress. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /**
   * Counts a connection that was accepted.
   *
   * @returns Whether it may stay open. Calls on the last connections are refused.
   */
  openConnection(): boolean {
    this.#connections++;
    return this.#connections <= this.#maxConnections + REFUSED_CONNECTIONS;
  }

  /** Counts that a connection was closed. */
  closeConnection(): void {
    this.#connections--;
  }

  /**
   * Begins a call if the instance can carry it.
   *
   * @param headBytes Estimated memory for its head, in bytes. Default: none.
   * @returns The resource of which there is too little, or `undefined` if the call has
   * begun; {@linkcode endCall} ends it.
   */
  beginCall(headBytes = 0): ScarceResource | undefined {
    if (this.#connections > this.#maxConnections) return "connections";
    if (this.#calls >= this.#maxCalls) return "processor";
    if (!this.reserveHead(headBytes)) return "memory";
    this.#calls++;
    return undefined;
  }

  /**
   * Reserves memory for the head of a call, or for what is parsed of its body.
   *
   * @returns Whether there was enough; otherwise nothing is reserved.
   */
  reserveHead(bytes: number): boolean {
    if (this.#headBytes + bytes > this.#maxHeadBytes) return false;
    this.#headBytes += bytes;
    return true;
  }

  /**
   * Reserves memory for a part of the body of a call in progress.
   *
   * @returns Whether there was enough; otherwise nothing is reserved. A body is accepted
   * whatever its size while there is no other one.
   */
  reserveBody(bytes: number): boolean {
    const maxBodyBytes = BODY_MEMORY_SHARE *
      (this.#callMemoryBytes - this.#headBytes);
    const isTooMuch = this.#bodyBytes > 0 &&
      this.#bodyBytes + bytes > maxBodyBytes;
    if (isTooMuch) return false;
    this.#bodyBytes += bytes;
    return true;
  }

  /** Ends a call that has begun, and releases the memory reserved for its body and its head. */
  endCall(bodyBytes: number, headBytes = 0): void {
    this.#calls--;
    this.#bodyBytes -= bodyBytes;
    this.#headBytes -= headBytes;
  }
}
