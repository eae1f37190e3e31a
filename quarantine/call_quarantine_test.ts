import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type CallFingerprint, toBackendId } from "../ids/mod.ts";
import { createContent } from "../tests/content_fixture.ts";
import { CallQuarantine } from "./call_quarantine.ts";

const SERVERS = Array.from({ length: 8 }, (_, at) => toBackendId(`s${at}`));
const HOUR_MS = 3_600_000;

/** A quarantine that saw these servers end under these calls, one a second. */
function see(ends: Readonly<Record<string, readonly number[]>>) {
  const held: CallFingerprint[] = [];
  const quarantine = new CallQuarantine({
    onHeld: ({ call }) => held.push(call),
  });
  Object.entries(ends).forEach(([body, servers]) =>
    servers.forEach((server, at) =>
      quarantine.recordEnd(createContent(body), SERVERS[server]!, at * 1_000)
    )
  );
  const isHeld = (body: string, nowMs = 5_000) =>
    quarantine.readHeldMs(createContent(body), nowMs) > 0;
  return { held, isHeld, quarantine };
}

describe("CallQuarantine", () => {
  describe("when servers end under a call", () => {
    it("refuses it after three", () => {
      const { held, isHeld } = see({ bad: [0, 1, 2] });
      assert.ok(isHeld("bad"));
      assert.deepEqual(held, [createContent("bad").fingerprint]);
    });

    it("lets it run after two, and counts each server once", () => {
      const { isHeld } = see({ twice: [0, 1], again: [0, 0, 0, 0] });
      assert.ok(!isHeld("twice"));
      assert.ok(!isHeld("again"));
    });

    it("refuses no other call of the same path", () => {
      const { isHeld } = see({ bad: [0, 1, 2] });
      assert.ok(!isHeld("dab"));
    });

    it("lets it run again after a while, however often others tell of it", () => {
      const { isHeld, quarantine } = see({ bad: [0, 1, 2] });
      const row = {
        call: createContent("bad").fingerprint,
        servers: SERVERS.slice(0, 3),
      };
      Array.from({ length: 60 }, (_, minute) => minute * 60_000).forEach(
        (nowMs) =>
          quarantine.learn(
            [{ ...row, ageMs: Math.max(0, nowMs - 2_000) }],
            nowMs,
          ),
      );
      assert.ok(isHeld("bad", 500_000));
      assert.ok(!isHeld("bad", HOUR_MS));
    });
  });

  describe("when a call was refused for as long as it is", () => {
    it("refuses it again after one more end", () => {
      const { isHeld, quarantine } = see({ bad: [0, 1, 2] });
      assert.deepEqual(quarantine.listHeldInTurn(1, HOUR_MS), []);
      assert.ok(!isHeld("bad", HOUR_MS));
      quarantine.recordEnd(createContent("bad"), SERVERS[3]!, HOUR_MS);
      assert.ok(isHeld("bad", HOUR_MS + 1_000));
    });

    it("does so however many servers have ended under it", () => {
      const { isHeld, quarantine } = see({});
      const end = (server: number) => {
        const atMs = server * HOUR_MS;
        const id = toBackendId(`server ${server}`);
        quarantine.recordEnd(createContent("bad"), id, atMs);
        return isHeld("bad", atMs + 1_000);
      };
      const held = Array.from({ length: 40 }, (_, server) => end(server));
      assert.ok(held.slice(2).every((isRefused) => isRefused));
    });
  });

  describe("when a call ran beside another one", () => {
    it("lets it run once the other has ended more servers", () => {
      const { isHeld } = see({ bad: [0, 1, 2, 3], beside: [0, 1, 2] });
      assert.ok(isHeld("bad"));
      assert.ok(!isHeld("beside"));
    });

    it("lets it run once a server has answered it", () => {
      const { isHeld, quarantine } = see({ beside: [0, 1], bad: [0, 1, 2] });
      quarantine.recordAnswer(createContent("beside"), 5_000);
      [3, 4, 5].forEach((server) =>
        quarantine.recordEnd(createContent("beside"), SERVERS[server]!, 6_000)
      );
      assert.ok(!isHeld("beside", 7_000));
      assert.ok(isHeld("bad", 7_000));
    });

    it("lets it run where another instance has seen it answered", () => {
      const { quarantine: other } = see({ beside: [0] });
      other.recordAnswer(createContent("beside"), 5_000);
      const { isHeld, quarantine } = see({ beside: [0, 1, 2] });
      assert.ok(isHeld("beside"));
      quarantine.learn(other.takeUntold(), 5_000);
      assert.ok(!isHeld("beside"));
    });

    it("refuses two calls that end servers of their own", () => {
      const { isHeld } = see({ bad: [0, 1, 2, 3], worse: [3, 4, 5, 6] });
      assert.ok(isHeld("bad"));
      assert.ok(isHeld("worse"));
    });
  });

  describe("when many callers send the same call", () => {
    it("lets it run though several servers end at once, since it was answered just before", () => {
      const { isHeld, quarantine } = see({});
      quarantine.recordAnswer(createContent("popular"), 1_000);
      [0, 1, 2].forEach((server) =>
        quarantine.recordEnd(
          createContent("popular"),
          SERVERS[server]!,
          2_000,
        )
      );
      assert.ok(!isHeld("popular"));
    });

    it("lets it run at an instance that never answered it", () => {
      const knowing = see({}).quarantine;
      knowing.recordAnswer(createContent("popular"), 1_000);
      const { isHeld, quarantine } = see({ popular: [0, 1, 2] });
      knowing.learn(quarantine.takeUntold(), 3_000);
      quarantine.learn(knowing.takeUntold(), 3_100);
      assert.ok(!isHeld("popular"));
    });

    it("refuses it where it was answered long ago", () => {
      const { isHeld, quarantine } = see({});
      quarantine.recordAnswer(createContent("bad"), 1_000);
      [0, 1, 2].forEach((server) =>
        quarantine.recordEnd(createContent("bad"), SERVERS[server]!, 70_000)
      );
      assert.ok(isHeld("bad", 71_000));
    });
  });

  describe("when others tell of servers", () => {
    it("adds what they saw to what it saw", () => {
      const { isHeld, quarantine } = see({ bad: [0] });
      const other = see({ bad: [1, 2] }).quarantine.takeUntold();
      assert.equal(quarantine.learn(other, 3_000).length, 2);
      assert.ok(isHeld("bad"));
    });

    it("finds nothing new in what it knows", () => {
      const { quarantine } = see({ bad: [0, 1, 2] });
      const known = quarantine.listHeldInTurn(1, 3_000);
      assert.equal(known.length, 1);
      assert.deepEqual(quarantine.learn(known, 3_000), []);
    });
  });

  describe("when thousands of calls lose their servers", () => {
    it("remembers a bounded number, and keeps those that it refuses", () => {
      const { isHeld, quarantine } = see({ bad: [0, 1, 2] });
      Array.from(
        { length: 10_000 },
        (_, at) =>
          quarantine.recordEnd(
            createContent(`other ${at}`),
            SERVERS[3]!,
            4_000,
          ),
      );
      assert.ok(quarantine.suspectCount <= 4_096);
      assert.ok(isHeld("bad"));
    });

    it("refuses a bounded number of calls, the newest", () => {
      const { isHeld, quarantine } = see({});
      const bodies = Array.from({ length: 1_000 }, (_, at) => `bad ${at}`);
      bodies.forEach((body) =>
        [0, 1, 2].forEach((server) =>
          quarantine.recordEnd(createContent(body), SERVERS[server]!, 4_000)
        )
      );
      assert.ok(quarantine.heldCount <= 256);
      assert.ok(isHeld(bodies.at(-1)!));
    });
  });
});
