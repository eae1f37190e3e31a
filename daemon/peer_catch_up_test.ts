import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { VirtualClock, waitFor } from "../clock/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import {
  createFleetView,
  createMember as createNamedMember,
} from "../tests/member_fixture.ts";
import { createReport } from "../tests/report_fixture.ts";
import { createFullCopy } from "../tests/state_fixture.ts";
import { LOADED_STATE } from "../tests/virtual_gateway.ts";
import { PeerCatchUp, type ReadPeerState } from "./peer_catch_up.ts";

const AHEAD = {
  configurationVersion: 2,
  store: { era: 0, revision: 9 },
  isStoreLost: false,
};

/** Returns a member whose address is its id. */
function createMember(id: string) {
  return { ...createNamedMember(id, id.split("-")[0]), address: id };
}

/** Starts an instance that is not a relay: the first two instances of its region are others. */
function start(readPeerState: ReadPeerState) {
  const clock = new VirtualClock();
  const fleet = createFleetView(createMember("north-9"));
  let known = LOADED_STATE.known;
  const asked: string[] = [];
  const catchUp = new PeerCatchUp({
    clock,
    fleet,
    state: {
      ...LOADED_STATE,
      get known() {
        return known;
      },
      applyCopy: ({ revision }) => {
        known = {
          ...known,
          store: { era: 0, revision },
          configurationVersion: 2,
        };
        return true;
      },
    },
    logger: createSilentLogger(),
    readPeerState: (address, after) => {
      asked.push(address);
      return readPeerState(address, after);
    },
  });
  let sequence = 0;
  const receiveReport = (id: string, isAhead: boolean) =>
    fleet.applyReport(
      createReport(
        createMember(id),
        ++sequence,
        isAhead ? { known: AHEAD } : {
          known: LOADED_STATE.known,
        },
      ),
      clock.nowMs(),
    );
  /** Advances the clock; every 100 ms members report, and the instance checks for a peer that is ahead. */
  const run = async (ms: number, ids: readonly string[]) => {
    for (let spentMs = 0; spentMs < ms; spentMs += 100) {
      ids.forEach((id) => receiveReport(id, true));
      catchUp.check();
      await clock.advance(100);
    }
  };
  return { asked, clock, receiveReport, run, readKnown: () => known };
}

const serve: ReadPeerState = () => Promise.resolve(ok(createFullCopy(9, [])));

describe("PeerCatchUp", () => {
  it("reads from a peer of the own region at once, and from none when it is up to date", async () => {
    const { asked, receiveReport, readKnown, run } = start(serve);
    receiveReport("north-1", false);
    receiveReport("north-2", false);
    await run(100, ["north-1", "north-2"]);
    assert.equal(asked.length, 1);
    assert.equal(readKnown().store.revision, 9);
    await run(1_000, ["north-1", "north-2"]);
    assert.equal(asked.length, 1);
  });

  it("waits before it reads from another region", async () => {
    const { asked, receiveReport, run } = start(serve);
    receiveReport("north-1", false);
    receiveReport("north-2", false);
    await run(400, ["south-1"]);
    assert.deepEqual(asked, []);
    await run(200, ["south-1"]);
    assert.deepEqual(asked, ["south-1"]);
  });

  it("reads from a second peer when the first does not answer", async () => {
    const { asked, readKnown, run } = start((address, after) =>
      address === "north-1" ? new Promise(() => {}) : serve(address, after)
    );
    await run(300, ["north-1", "north-2"]);
    assert.deepEqual(asked, ["north-1"]);
    await run(300, ["north-1", "north-2"]);
    assert.deepEqual(asked, ["north-1", "north-2"]);
    assert.equal(readKnown().store.revision, 9);
  });

  it("prefers other peers to one whose read failed", async () => {
    const parts = start(async (address, after) => {
      if (address !== "north-1") return serve(address, after);
      await waitFor(parts.clock, 50);
      return err("refused");
    });
    await parts.run(300, ["north-1", "north-2"]);
    assert.deepEqual(parts.asked, ["north-1", "north-2"]);
  });
});
