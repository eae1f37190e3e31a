import { type VirtualClock, waitFor } from "../clock/mod.ts";
import type { ActiveSend, SendEvents } from "../forwarding/mod.ts";

/** How long an instance waits for a connection that nobody accepts, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** How long an instance waits for the connection of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;
/** Answers of which one is the last on its connection, as servers close some of them. */
const ANSWERS_PER_CLOSE = 5;

/**
 * State of an instance's links to all servers:
 *
 * - `open`: they work.
 * - `hanging`: nothing arrives, in either direction, and no connection opens.
 * - `reset`: open connections are reset, and new ones are refused.
 * - `refusing`: open connections work, and new ones are refused.
 */
export type LinkState = "open" | "hanging" | "reset" | "refusing";

/** The links of simulated instances to their servers, and the idle connections over them. */
export class VirtualLinks {
  readonly #clock: VirtualClock;
  readonly #states = new Map<string, LinkState>();
  /** Idle connections by instance and server. */
  readonly #idle = new Map<string, number>();
  readonly #sends = new Map<string, Set<SendEvents>>();
  #answers = 0;

  /** @param clock Clock of the simulated network. */
  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  /** Returns the state of an instance's links. */
  read(instance: string): LinkState {
    return this.#states.get(instance) ?? "open";
  }

  /** Sets the state of an instance's links. `reset` fails the sends in progress. */
  set(instance: string, state: LinkState): void {
    this.#states.set(instance, state);
    if (state !== "reset") return;
    [...this.#idle.keys()].filter((key) => key.startsWith(`${instance} `))
      .forEach((key) => this.#idle.delete(key));
    const sends = [...this.#sends.get(instance) ?? []];
    this.#sends.delete(instance);
    sends.forEach((events) =>
      events.onFailure({ kind: "closed", message: "read ECONNRESET" })
    );
  }

  /** Returns whether an instance can open a connection, as soon as it would know. */
  async probe(instance: string): Promise<boolean> {
    const isHanging = this.read(instance) === "hanging";
    if (isHanging) await waitFor(this.#clock, PROBE_TIMEOUT_MS);
    return this.read(instance) === "open";
  }

  /**
   * Takes a connection for a send. Returns the send if no byte reaches the server, or
   * `undefined` if the server gets the call.
   */
  take(
    instance: string,
    server: string,
    events: SendEvents,
  ): ActiveSend | undefined {
    const key = `${instance} ${server}`;
    const idle = this.#idle.get(key) ?? 0;
    if (idle > 0) this.#idle.set(key, idle - 1);
    const state = this.read(instance);
    switch (state) {
      case "open":
        return undefined;
      case "refusing":
      case "reset":
        return idle > 0 && state === "refusing"
          ? undefined
          : this.#fail(events, "connect ECONNREFUSED", 0);
      case "hanging":
        return idle > 0
          ? { resume: () => {}, abort: () => {} }
          : this.#fail(events, "Connect Timeout Error", CONNECT_TIMEOUT_MS);
    }
  }

  /** Records a send that reached the server, for the reset of its connection. */
  begin(instance: string, events: SendEvents): void {
    const sends = this.#sends.get(instance) ?? new Set();
    this.#sends.set(instance, sends);
    sends.add(events);
  }

  /** Returns whether an answer arrives, and keeps its connection for later sends. */
  end(instance: string, server: string, events: SendEvents): boolean {
    const isOpen = this.#sends.get(instance)?.delete(events) ?? false;
    if (!isOpen || this.read(instance) === "hanging") return false;
    this.#answers++;
    if (this.#answers % ANSWERS_PER_CLOSE === 0) return true;
    const key = `${instance} ${server}`;
    this.#idle.set(key, (this.#idle.get(key) ?? 0) + 1);
    return true;
  }

  /** Removes a send that its instance has aborted. */
  abort(instance: string, events: SendEvents): void {
    this.#sends.get(instance)?.delete(events);
  }

  #fail(events: SendEvents, message: string, afterMs: number): ActiveSend {
    const aborting = new AbortController();
    this.#clock.schedule(
      afterMs,
      () => events.onFailure({ kind: "not-sent", message }),
      aborting.signal,
    );
    return { resume: () => {}, abort: () => aborting.abort("given up") };
  }
}
