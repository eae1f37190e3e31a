import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createRandom, VirtualClock, waitFor } from "../clock/mod.ts";
import type { HttpGateway, ReadPeerState } from "../daemon/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { StateFollower } from "../state/mod.ts";
import type { RevisionedStore, StoreFailure } from "../store/mod.ts";
import { TEST_DECODER } from "./state_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

/** Timeout of the store clients for a call without an answer, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Maximum time until a change is in force at all reachable instances, in milliseconds. */
const MAX_APPLY_MS = 4_000;
const FAILURE: StoreFailure = { kind: "unknown", message: "no answer" };

/** Faults that a test injects into an instance. */
type Fault =
  | "none"
  /** The store refuses the calls of the instance. */
  | "store refuses"
  /** The store does not answer the instance; its peers do. */
  | "store silent"
  /** No message reaches the instance or leaves it. */
  | "cut off";

interface TestInstance {
  readonly address: string;
  readonly gateway: HttpGateway;
  fault: Fault;
  readonly end: AbortController;
}

/** Creates instances of several regions, each with two failure domains, on one store. */
function createFleet(regions: readonly string[], perRegion: number) {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const instances = new Map<string, TestInstance>();
  let storeCallCount = 0;
  const readFault = (address: string) =>
    instances.get(address)?.fault ?? "none";

  /** Returns a client of the store that fails according to the fault of the instance. */
  const createStoreClient = (
    address: string,
  ): Pick<RevisionedStore, "readSnapshot" | "awaitChanges"> => {
    const callStore = async <Answer>(
      waitMs: number,
      call: () => Promise<Answer>,
    ): Promise<Answer> => {
      storeCallCount++;
      const faultBefore = readFault(address);
      if (faultBefore === "store refuses") return err(FAILURE) as Answer;
      const startMs = clock.nowMs();
      const answer = faultBefore === "none" ? await call() : undefined;
      if (answer !== undefined && readFault(address) === "none") {
        return answer;
      }
      const leftMs = startMs + waitMs + CALL_TIMEOUT_MS - clock.nowMs();
      await waitFor(clock, Math.max(0, leftMs));
      return err(FAILURE) as Answer;
    };
    return {
      readSnapshot: (prefix) => callStore(0, () => store.readSnapshot(prefix)),
      awaitChanges: (request) =>
        callStore(request.waitMs, () => store.awaitChanges(request)),
    };
  };
  const createPeerReader =
    (reader: string): ReadPeerState => async (address, after) => {
      const isCutOff = [reader, address].some((endpoint) =>
        readFault(endpoint) === "cut off" ||
        instances.get(endpoint)?.end.signal.aborted
      );
      if (!isCutOff) {
        return ok(instances.get(address)!.gateway.state.createCopy(after));
      }
      await waitFor(clock, 2_000);
      return err("no answer");
    };
  const start = (address: string) => {
    const [region] = address.split("-");
    const index = Number(address.split("-")[1]);
    const end = new AbortController();
    const gateway = createVirtualGateway(address, {
      clock,
      random: createRandom(index + 1),
      self: {
        id: toInstanceId(address),
        incarnation: String(clock.nowMs()),
        address,
        region: toRegionId(region!),
        failureDomain: toFailureDomainId(`${region}-${"ab"[index % 2]}`),
      },
      seedAddresses: [`${regions[0]}-00`],
      createState: (sinks) =>
        new StateFollower({
          ...sinks,
          store: createStoreClient(address),
          decoder: TEST_DECODER,
          clock,
          random: createRandom(index + 1),
          logger: createSilentLogger(),
          prefix: "",
        }),
      readPeerState: createPeerReader(address),
      sendReport: (report, to) => {
        if (end.signal.aborted || readFault(address) === "cut off") return;
        to.forEach((other) => {
          const instance = instances.get(other);
          if (instance === undefined || instance.end.signal.aborted) return;
          if (instance.fault === "cut off") return;
          instance.gateway.receiveReport(report, address);
        });
      },
    });
    instances.set(address, { address, gateway, fault: "none", end });
    gateway.start(end.signal);
  };
  const addresses = regions.flatMap((region) =>
    Array.from(
      { length: perRegion },
      (_, index) => `${region}-${String(index).padStart(2, "0")}`,
    )
  );
  const put = async (key: string, value: string) => {
    const known = (await store.read(key))._unsafeUnwrap();
    const expectedRevision = known?.revision ?? 0;
    await store.swap({ key, value, expectedRevision });
  };
  return {
    clock,
    instances,
    put,
    start,
    startAll: () => addresses.forEach(start),
    setFault: (names: readonly string[], fault: Fault) =>
      names.forEach((name) => {
        instances.get(name)!.fault = fault;
      }),
    countStoreCalls: () => storeCallCount,
    stopAll: () => instances.forEach(({ end }) => end.abort("over")),
  };
}

type Fleet = ReturnType<typeof createFleet>;

/**
 * Changes the configuration and returns the time until all reachable instances apply it, in
 * milliseconds; gives up after 30 s.
 */
async function measureApplyMs(
  fleet: Fleet,
  version: number,
): Promise<number> {
  const { clock, instances, put } = fleet;
  const startMs = clock.nowMs();
  await put("config", String(version));
  const isDone = () =>
    [...instances.values()].filter(({ end, fault }) =>
      fault === "none" && !end.signal.aborted
    ).every(({ gateway }) =>
      gateway.state.known.configurationVersion === version
    );
  while (!isDone() && clock.nowMs() < startMs + 30_000) {
    await clock.advance(25);
  }
  return clock.nowMs() - startMs;
}

async function startHealthyFleet(
  regions: readonly string[],
  perRegion: number,
): Promise<Fleet> {
  const fleet = createFleet(regions, perRegion);
  await fleet.put("config", "1");
  fleet.startAll();
  await fleet.clock.advance(6_000);
  return fleet;
}

describe("state that relays distribute", () => {
  describe("when 60 instances run in three regions", () => {
    it("reaches all instances in half a second, with few calls to the store", async () => {
      const fleet = await startHealthyFleet(["north", "south", "west"], 20);
      const before = fleet.countStoreCalls();
      for (let second = 0; second < 20; second++) {
        await fleet.put(`server/s${second % 5}`, "ready");
        await fleet.clock.advance(1_000);
      }
      const perSecond = (fleet.countStoreCalls() - before) / 20;
      assert.ok(perSecond < 15, `${perSecond} calls a second`);
      const tookMs = await measureApplyMs(fleet, 2);
      assert.ok(tookMs <= 500, `${tookMs} ms`);
      fleet.stopAll();
    });
  });

  const RELAYS = ["north-00", "north-01"];
  const REMOTE_RELAYS = ["south-00", "south-01"];

  const CASES: readonly {
    readonly title: string;
    readonly fault: Fault;
    readonly names: readonly string[];
  }[] = [
    { title: "one relay is cut off", fault: "cut off", names: ["north-00"] },
    { title: "both relays are cut off", fault: "cut off", names: RELAYS },
    {
      title: "the store refuses the calls of both relays",
      fault: "store refuses",
      names: RELAYS,
    },
    {
      title: "the store does not answer both relays, which still report",
      fault: "store silent",
      names: RELAYS,
    },
    {
      title: "the store does not answer the relays of all regions",
      fault: "store silent",
      names: [...RELAYS, ...REMOTE_RELAYS],
    },
    {
      title: "the store refuses the calls of all relays and their substitutes",
      fault: "store refuses",
      names: [...RELAYS, ...REMOTE_RELAYS, "north-02", "north-03", "south-02"],
    },
  ];
  [0, 700, 3_000].forEach((faultAgeMs) =>
    CASES.forEach(({ title, fault, names }) =>
      it(`follows a change in time when ${title}, from ${faultAgeMs} ms before it on`, async () => {
        const fleet = await startHealthyFleet(["north", "south"], 8);
        fleet.setFault(names, fault);
        await fleet.clock.advance(faultAgeMs);
        const tookMs = await measureApplyMs(fleet, 2);
        assert.ok(tookMs <= MAX_APPLY_MS, `${tookMs} ms`);
        // An instance that recovers is up to date before it counts as reachable.
        fleet.setFault(names, "none");
        const recoveredMs = await measureApplyMs(fleet, 3);
        assert.ok(recoveredMs <= 5_000, `${recoveredMs} ms after the trouble`);
        fleet.stopAll();
      })
    )
  );

  it("is read from the store by few instances again after the store refused all of them", async () => {
    const fleet = await startHealthyFleet(["north"], 12);
    const all = [...fleet.instances.keys()];
    fleet.setFault(all, "store refuses");
    await fleet.clock.advance(8_000);
    fleet.setFault(all, "none");
    assert.ok(await measureApplyMs(fleet, 2) <= 5_000);
    await fleet.clock.advance(12_000);
    const before = fleet.countStoreCalls();
    await fleet.clock.advance(10_000);
    const perSecond = (fleet.countStoreCalls() - before) / 10;
    assert.ok(perSecond <= 3, `${perSecond} calls a second`);
    fleet.stopAll();
  });

  it("reaches an instance that starts after its relays", async () => {
    const fleet = await startHealthyFleet(["north"], 4);
    fleet.start("north-09");
    await fleet.clock.advance(300);
    const { state } = fleet.instances.get("north-09")!.gateway;
    assert.equal(state.known.configurationVersion, 1);
    await fleet.clock.advance(3_000);
    assert.ok(await measureApplyMs(fleet, 2) <= 500);
    fleet.stopAll();
  });

  it("is distributed by a new relay each time that one is lost", async () => {
    const fleet = await startHealthyFleet(["north"], 6);
    for (let version = 2; version < 6; version++) {
      const name = `north-0${version - 2}`;
      fleet.instances.get(name)!.end.abort("lost");
      assert.ok(await measureApplyMs(fleet, version) <= MAX_APPLY_MS);
    }
    fleet.stopAll();
  });
});
