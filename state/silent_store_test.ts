import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err } from "neverthrow";
import { createRandom, VirtualClock, waitFor } from "../clock/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import type { StoreFailure } from "../store/mod.ts";
import { TEST_DECODER } from "../tests/state_fixture.ts";
import { StateFollower } from "./state_follower.ts";

/** Timeout of a client's call, beyond the time that the call waits at the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/**
 * Maximum time from the end of a silence until a configuration written then is in force,
 * in milliseconds: users count an instance as connected to the store after 5 s.
 */
const MAX_STALENESS_MS = 4_600;
const LOST_ANSWER: StoreFailure = {
  kind: "unknown",
  message: "no answer in time",
};

/** A store whose answers are lost while it is silent; calls fail with their timeout. */
class SilentStore extends MemoryStore {
  readonly #clock: VirtualClock;
  #silences = 0;
  #isSilent = false;

  constructor(clock: VirtualClock) {
    super(clock);
    this.#clock = clock;
  }

  setSilent(isSilent: boolean): void {
    this.#isSilent = isSilent;
    if (isSilent) this.#silences++;
  }

  override readSnapshot(
    ...args: Parameters<MemoryStore["readSnapshot"]>
  ): ReturnType<MemoryStore["readSnapshot"]> {
    return this.#awaitAnswer(0, super.readSnapshot(...args));
  }

  override awaitChanges(
    ...args: Parameters<MemoryStore["awaitChanges"]>
  ): ReturnType<MemoryStore["awaitChanges"]> {
    return this.#awaitAnswer(args[0].waitMs, super.awaitChanges(...args));
  }

  async #awaitAnswer<Answer>(
    waitMs: number,
    answer: Promise<Answer>,
  ): Promise<Answer> {
    const limitMs = this.#clock.nowMs() + waitMs + CALL_TIMEOUT_MS;
    const silencesBefore = this.#silences;
    const wasSilent = this.#isSilent;
    const received = await answer;
    if (!wasSilent && this.#silences === silencesBefore) return received;
    await waitFor(this.#clock, Math.max(0, limitMs - this.#clock.nowMs()));
    return err(LOST_ANSWER) as Answer;
  }
}

/** Returns how long after a silence a configuration written at its end comes into force, in milliseconds. */
async function measureStalenessMs(
  startMs: number,
  lengthMs: number,
  seed: number,
): Promise<number> {
  const clock = new VirtualClock();
  const store = new SilentStore(clock);
  const ended = new AbortController();
  const versions: number[] = [];
  const follower = new StateFollower({
    store,
    decoder: TEST_DECODER,
    registry: new ServerRegistry(),
    clock,
    random: createRandom(seed),
    logger: createSilentLogger(),
    prefix: "",
    applyTable: (table: RouteTable) =>
      void versions.push(table.configuration.version),
    onServers: () => {},
  });
  await store.swap({ key: "config", value: "1", expectedRevision: 0 });
  void follower.run(ended.signal);
  await clock.advance(startMs);
  store.setSilent(true);
  await clock.advance(lengthMs);
  store.setSilent(false);
  const known = (await store.read("config"))._unsafeUnwrap();
  await store.swap({
    key: "config",
    value: "2",
    expectedRevision: known?.revision ?? 0,
  });
  const endMs = clock.nowMs();
  while (versions.at(-1) !== 2 && clock.nowMs() < endMs + 20_000) {
    await clock.advance(50);
  }
  ended.abort();
  return clock.nowMs() - endMs;
}

describe("StateFollower, after the store did not answer for a while", () => {
  it("puts a change in force before the instance counts as connected", async () => {
    const starts = Array.from({ length: 12 }, (_, at) => 400 + at * 530);
    const lengths = [300, 1_000, 2_500, 4_500, 7_000];
    const cases = starts.flatMap((startMs) =>
      lengths.map((lengthMs) => ({ startMs, lengthMs }))
    );
    const measured = await Promise.all(
      cases.map(async ({ startMs, lengthMs }, seed) => ({
        startMs,
        lengthMs,
        stalenessMs: await measureStalenessMs(startMs, lengthMs, seed + 1),
      })),
    );
    const late = measured.filter(({ stalenessMs }) =>
      stalenessMs > MAX_STALENESS_MS
    );
    assert.deepEqual(late, []);
  });
});
