// Guards against accepting every call: calls then waited 1.25 s to be read, connections grew from 250 to 1,200, and no call was answered in time.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createRandom } from "../clock/mod.ts";
import type { AnswerHead } from "../forwarding/mod.ts";
import type { HttpGateway } from "./http_gateway.ts";
import {
  ANSWERING_CLIENT,
  createHeadSink,
  createOpaqueCall,
  SINGLE_ROUTE_TABLE,
} from "../tests/opaque_call_fixture.ts";
import { VirtualEventLoop } from "../tests/virtual_event_loop.ts";
import { createVirtualGateway } from "../tests/virtual_gateway.ts";
import { createServerEntry } from "../tests/member_fixture.ts";

/** Processor time of a forwarded call, in milliseconds: an instance used 24% of a core for 91 calls a second. */
const FORWARD_MS = 2.6;
/** Processor time of a refused call, in milliseconds. */
const REFUSE_MS = 0.6;
/** Processor time of an event loop iteration without calls, in milliseconds. */
const ITERATION_MS = 0.2;
/** Number of calls that begin in one event loop iteration. */
const CALLS_PER_ITERATION = 1;
/** Calls a second that an instance can forward if it does nothing else. */
const CAPACITY_PER_SECOND = 1_000 / FORWARD_MS;
const SIMULATED_MS = 6_000;
/** Time at the start in which calls are not counted, in milliseconds. */
const SETTLING_MS = 1_500;
const TARGET_MS = 800;
/** Time for which callers wait until their connection is accepted and read, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

function createLoadedGateway(loop: VirtualEventLoop): HttpGateway {
  const gateway = createVirtualGateway("north-1", {
    clock: loop,
    random: createRandom(3),
    client: ANSWERING_CLIENT,
  });
  const server = createServerEntry("s1", { slots: 1_000 });
  gateway.registry.put(server, loop.nowMs());
  gateway.forwarder.setTable(SINGLE_ROUTE_TABLE);
  gateway.start(new AbortController().signal);
  return gateway;
}

interface SimulatedCall {
  readonly isNew: boolean;
  readonly arrivedMs: number;
  /** Time from arrival until the answer began, in milliseconds; `undefined` without an answer. */
  answeredMs: number | undefined;
  head: AnswerHead | undefined;
}

/** Maximum number of connections that wait to be accepted; callers beyond it go elsewhere. */
const MAX_UNACCEPTED = 128;
/** Fraction of the calls that arrive on new connections; the others use open ones. */
const NEW_CONNECTION_FRACTION = 0.4;

/**
 * Instance whose event loop accepts one connection per iteration, as the runtime does. An
 * overloaded instance accepted 4 connections in half a second: its loop had 4 iterations, each
 * of which handled all calls that had arrived. It used all of its processor time for nine
 * seconds, refused no call itself, and forwarded calls over a second after they were sent.
 */
class LoadedInstance {
  readonly loop = new VirtualEventLoop();
  readonly #gateway = createLoadedGateway(this.loop);
  readonly #open: SimulatedCall[] = [];
  readonly #unaccepted: SimulatedCall[] = [];
  #accepted: SimulatedCall | undefined;

  /** Queues a call as its caller sends it, and returns whether it found a connection. */
  arrive(call: SimulatedCall): boolean {
    const isQueued = !call.isNew || this.#unaccepted.length < MAX_UNACCEPTED;
    if (isQueued) (call.isNew ? this.#unaccepted : this.#open).push(call);
    return isQueued;
  }

  /** Reads the calls that have arrived; on a new connection, one iteration after it is accepted. */
  readArrived(): void {
    if (this.#accepted !== undefined) this.#read(this.#accepted);
    this.#accepted = this.#unaccepted.shift();
    this.#open.splice(0).forEach((call) => this.#read(call));
  }

  #read(arrived: SimulatedCall): void {
    const { loop } = this;
    const unreadMs = this.#gateway.loopDelay.readMs();
    const call = createOpaqueCall(loop.nowMs() - unreadMs, unreadMs);
    const sink = createHeadSink((head) => {
      arrived.answeredMs = loop.nowMs() - arrived.arrivedMs;
      arrived.head = head;
      loop.block(head.status === 200 ? FORWARD_MS : REFUSE_MS);
    });
    void this.#gateway.handle(call, sink);
  }
}

/** Simulates calls at an even rate, and returns those that are neither among the first nor the last. */
async function simulate(
  callsPerSecond: number,
): Promise<readonly SimulatedCall[]> {
  const instance = new LoadedInstance();
  const { loop } = instance;
  const calls: SimulatedCall[] = [];
  for (let count = 0; loop.nowMs() < SIMULATED_MS;) {
    loop.block(ITERATION_MS);
    loop.runDueTimers();
    await setImmediate();
    for (; count * 1_000 / callsPerSecond <= loop.nowMs(); count++) {
      const call = {
        isNew: count % 10 < 10 * NEW_CONNECTION_FRACTION,
        arrivedMs: count * 1_000 / callsPerSecond,
        answeredMs: undefined,
        head: undefined,
      };
      if (instance.arrive(call)) calls.push(call);
    }
    instance.readArrived();
    await setImmediate();
  }
  return calls.filter(({ arrivedMs }) =>
    arrivedMs > SETTLING_MS && arrivedMs < SIMULATED_MS - TARGET_MS
  );
}

function isOnOpenConnection({ isNew }: SimulatedCall): boolean {
  return !isNew;
}

function countServed(calls: readonly SimulatedCall[]): number {
  return calls.filter(({ head }) => head?.status === 200).length;
}

/** Returns a quantile of the times from arrival until the answer began, in milliseconds. */
function computeQuantileMs(
  calls: readonly SimulatedCall[],
  fraction: number,
): number {
  const sorted = calls.map(({ answeredMs }) => answeredMs ?? SIMULATED_MS)
    .sort((a, b) => a - b);
  return sorted[Math.floor(fraction * (sorted.length - 1))]!;
}

describe("HttpGateway", () => {
  describe("when more calls arrive than its processor can forward", () => {
    [1.2, 1.6, 2.5].forEach((load) => {
      describe(`${load} times as many`, () => {
        it("answers all calls early, and serves most of those that it has capacity for", async () => {
          const calls = await simulate(load * CAPACITY_PER_SECOND);
          const openMs = computeQuantileMs(
            calls.filter(isOnOpenConnection),
            0.99,
          );
          assert.ok(openMs < TARGET_MS / 3, `open ones waited ${openMs} ms`);
          const newMs = computeQuantileMs(
            calls.filter(({ isNew }) => isNew),
            0.99,
          );
          assert.ok(newMs < CONNECT_TIMEOUT_MS, `new ones: ${newMs} ms`);
          // Refusals and event loop iterations use processor time that can't serve calls.
          const seconds = (SIMULATED_MS - TARGET_MS - SETTLING_MS) / 1_000;
          const arrivals = load * CAPACITY_PER_SECOND;
          const spentMs = arrivals *
            (REFUSE_MS + ITERATION_MS / CALLS_PER_ITERATION);
          const servable = (1_000 - spentMs) * seconds /
            (FORWARD_MS - REFUSE_MS);
          const served = countServed(calls);
          assert.ok(served > 0.85 * servable, `served ${served}/${servable}`);
        });

        it("refuses the others as not run, with a Retry-After header", async () => {
          const calls = await simulate(load * CAPACITY_PER_SECOND);
          const refused = calls.filter(({ head }) => head?.status !== 200);
          assert.ok(refused.length > 0);
          assert.ok(
            refused.every(({ head }) =>
              head?.status === 503 && head.headers.includes("Retry-After")
            ),
          );
        });
      });
    });
  });

  describe("when its processor can forward all calls", () => {
    it("refuses no call", async () => {
      const calls = await simulate(0.8 * CAPACITY_PER_SECOND);
      assert.equal(countServed(calls), calls.length);
    });
  });
});
