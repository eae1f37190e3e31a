import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { createFleetView, createMember } from "../tests/member_fixture.ts";
import { createReport } from "../tests/report_fixture.ts";
import { RejectionGate, type SlotUsage } from "./rejection_gate.ts";

const SERVER = toBackendId("s1");
const SLOTS = 6;

/** Returns the gates of instances of one region that know each other. */
function startGates(count: number, perSecond: number) {
  const members = Array.from(
    { length: count },
    (_, at) => createMember(`i${at}`),
  );
  return members.map((self) => {
    const fleet = createFleetView(self);
    members.filter((member) => member !== self)
      .forEach((member) => fleet.applyReport(createReport(member, 1), 0));
    const gate = new RejectionGate({ fleet });
    gate.recordAdvertised(SERVER, { perSecond, sentMs: 0 }, 0);
    return gate;
  });
}

/** Sends as many calls to a server as a gate allows while it is full, and returns their number. */
function fill(gate: RejectionGate, calls: number): number {
  const usage = (ownCalls: number): SlotUsage => ({
    ownCalls,
    calls,
    slots: SLOTS,
  });
  let sent = 0;
  while (sent < 100 && gate.isOpen(SERVER, usage(sent), 0)) {
    gate.begin(SERVER, usage(sent));
    sent++;
  }
  return sent;
}

describe("RejectionGate", () => {
  [1, 3, 6, 9, 23].forEach((count) => {
    it(`lets ${count} instances together send no more than the slots and the tolerated rejections at once`, () => {
      const perSecond = 10;
      const sent = startGates(count, perSecond)
        .reduce((sum, gate) => sum + fill(gate, 0), 0);
      assert.ok(sent >= SLOTS, `${sent} sent`);
      assert.ok(sent <= SLOTS + perSecond, `${sent} sent`);
    });
  });

  it("closes after as many rejections as the instance may cause, for a second", () => {
    const [gate] = startGates(3, 10);
    const usage = { ownCalls: 0, calls: 0, slots: SLOTS };
    gate!.begin(SERVER, usage).reject(100);
    assert.equal(gate!.isOpen(SERVER, usage, 200), true);
    gate!.begin(SERVER, usage).reject(200);
    assert.equal(gate!.isOpen(SERVER, usage, 300), false);
    assert.equal(gate!.isOpen(SERVER, usage, 1_100), true);
  });

  it("does not count calls that the server has accepted", () => {
    const [gate] = startGates(3, 10);
    const usage = { ownCalls: 2, calls: 4, slots: SLOTS };
    const first = gate!.begin(SERVER, usage);
    gate!.begin(SERVER, usage);
    assert.equal(gate!.isOpen(SERVER, usage, 0), false);
    first.release();
    first.release();
    assert.equal(gate!.isOpen(SERVER, usage, 0), true);
  });

  it("keeps what the server named while an older answer does not name it", () => {
    const [gate] = startGates(3, 10);
    const ended = { perSecond: undefined, sentMs: -5 };
    assert.equal(gate!.recordAdvertised(SERVER, ended, 10), false);
    assert.equal(gate!.isBrittle(SERVER), true);
    const later = { perSecond: undefined, sentMs: 5 };
    assert.equal(gate!.recordAdvertised(SERVER, later, 10), true);
    assert.equal(gate!.isBrittle(SERVER), false);
  });
});
