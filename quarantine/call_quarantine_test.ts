import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type CallFingerprint, toBackendId } from "../ids/mod.ts";
import { createContent } from "../tests/content_fixture.ts";
import type { SharedPrompt } from "./call_content.ts";
import { CallQuarantine } from "./call_quarantine.ts";

const SERVERS = Array.from({ length: 8 }, (_, at) => toBackendId(`s${at}`));
const HOUR_MS = 3_600_000;

/** Creates a quarantine that observed these servers crash during these calls, one a second. */
function createQuarantine(
  crashes: Readonly<Record<string, readonly number[]>>,
) {
  const held: CallFingerprint[] = [];
  const quarantine = new CallQuarantine({
    onChange: (event) => {
      if (event.kind === "quarantined") held.push(event.report.call);
    },
  });
  Object.entries(crashes).forEach(([body, servers]) =>
    servers.forEach((server, at) =>
      quarantine.recordCrash(createContent(body), SERVERS[server]!, at * 1_000)
    )
  );
  const isQuarantined = (body: string, nowMs = 5_000) =>
    quarantine.readRemainingQuarantineMs(createContent(body), nowMs) > 0;
  return { held, isQuarantined, quarantine };
}

describe("CallQuarantine", () => {
  describe("when servers crash during a call", () => {
    it("quarantines it after three crashes", () => {
      const { held, isQuarantined } = createQuarantine({
        bad: [0, 1, 2],
      });
      assert.ok(isQuarantined("bad"));
      assert.deepEqual(held, [createContent("bad").fingerprint]);
    });

    it("lets it run after two crashes, and counts each server once", () => {
      const { isQuarantined } = createQuarantine({
        twice: [0, 1],
        again: [0, 0, 0, 0],
      });
      assert.ok(!isQuarantined("twice"));
      assert.ok(!isQuarantined("again"));
    });

    it("quarantines no other call of the same path", () => {
      const { isQuarantined } = createQuarantine({ bad: [0, 1, 2] });
      assert.ok(!isQuarantined("dab"));
    });

    it("lets it run again after a while, however often others report it", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        bad: [0, 1, 2],
      });
      const row = {
        call: createContent("bad").fingerprint,
        servers: SERVERS.slice(0, 3),
      };
      Array.from({ length: 60 }, (_, minute) => minute * 60_000).forEach(
        (nowMs) =>
          quarantine.mergeReports(
            [{ ...row, ageMs: Math.max(0, nowMs - 2_000) }],
            nowMs,
          ),
      );
      assert.ok(isQuarantined("bad", 500_000));
      assert.ok(!isQuarantined("bad", HOUR_MS));
    });
  });

  describe("when the quarantine of a call is over", () => {
    it("quarantines it again after one more crash", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        bad: [0, 1, 2],
      });
      assert.deepEqual(quarantine.listQuarantinedInRotation(1, HOUR_MS), []);
      assert.ok(!isQuarantined("bad", HOUR_MS));
      quarantine.recordCrash(createContent("bad"), SERVERS[3]!, HOUR_MS);
      assert.ok(isQuarantined("bad", HOUR_MS + 1_000));
    });

    it("quarantines it again however many servers have crashed before", () => {
      const { isQuarantined, quarantine } = createQuarantine({});
      const recordCrash = (server: number) => {
        const atMs = server * HOUR_MS;
        const id = toBackendId(`server ${server}`);
        quarantine.recordCrash(createContent("bad"), id, atMs);
        return isQuarantined("bad", atMs + 1_000);
      };
      const held = Array.from(
        { length: 40 },
        (_, server) => recordCrash(server),
      );
      assert.ok(held.slice(2).every((isRefused) => isRefused));
    });
  });

  describe("when a call ran beside the call at fault", () => {
    it("lets it run once the other call has crashed more servers", () => {
      const { isQuarantined } = createQuarantine({
        bad: [0, 1, 2, 3],
        beside: [0, 1, 2],
      });
      assert.ok(isQuarantined("bad"));
      assert.ok(!isQuarantined("beside"));
    });

    it("quarantines it, too, once a server has crashed during it alone", () => {
      const { isQuarantined } = createQuarantine({
        worse: [0, 1, 2, 3, 5],
        bad: [0, 1, 2, 4],
        beside: [0, 1, 2],
      });
      assert.ok(isQuarantined("worse"));
      assert.ok(isQuarantined("bad"));
      assert.ok(!isQuarantined("beside"));
    });

    it("keeps it quarantined when another call that crashes the same servers overtakes it", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        bad: [0, 1, 2, 3],
        worse: [0, 1, 2, 4, 5, 6],
      });
      assert.ok(isQuarantined("bad"));
      assert.ok(isQuarantined("worse"));
      quarantine.recordCrash(createContent("worse"), SERVERS[7]!, 5_000);
      assert.ok(isQuarantined("bad", 6_000));
    });

    it("keeps it quarantined when the other call has crashed more servers later", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        bad: [0, 1, 2],
      });
      SERVERS.slice(0, 6).forEach((server) =>
        quarantine.recordCrash(createContent("worse"), server, 4_000)
      );
      assert.ok(isQuarantined("worse"));
      assert.ok(isQuarantined("bad"));
    });

    it("keeps it quarantined after a failed trial, though another call explains all its crashes", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        bad: [0, 1, 2],
      });
      quarantine.recordCrash(createContent("bad"), SERVERS[3]!, 4_000, {
        isTrial: true,
      });
      SERVERS.slice(0, 6).forEach((server) =>
        quarantine.recordCrash(createContent("worse"), server, 4_500)
      );
      quarantine.recordCrash(createContent("worse"), SERVERS[6]!, 4_600, {
        isTrial: true,
      });
      assert.ok(isQuarantined("worse"));
      assert.ok(isQuarantined("bad"));
    });

    it("lets it run once a server has answered it", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        beside: [0, 1],
        bad: [0, 1, 2],
      });
      quarantine.recordAnswer(createContent("beside"), 5_000);
      [3, 4, 5].forEach((server) =>
        quarantine.recordCrash(createContent("beside"), SERVERS[server]!, 6_000)
      );
      assert.ok(!isQuarantined("beside", 7_000));
      assert.ok(isQuarantined("bad", 7_000));
    });

    it("lets it run once another instance reports an answer", () => {
      const { quarantine: other } = createQuarantine({ beside: [0] });
      other.recordAnswer(createContent("beside"), 5_000);
      const { isQuarantined, quarantine } = createQuarantine({
        beside: [0, 1, 2],
      });
      assert.ok(isQuarantined("beside"));
      quarantine.mergeReports(other.takeUnreported(), 5_000);
      assert.ok(!isQuarantined("beside"));
    });

    it("quarantines two calls that each crash servers of their own", () => {
      const { isQuarantined } = createQuarantine({
        bad: [0, 1, 2, 3],
        worse: [3, 4, 5, 6],
      });
      assert.ok(isQuarantined("bad"));
      assert.ok(isQuarantined("worse"));
    });
  });

  describe("when many callers send the same call", () => {
    it("lets it run when several servers crash at once shortly after it was answered", () => {
      const { isQuarantined, quarantine } = createQuarantine({});
      quarantine.recordAnswer(createContent("popular"), 1_000);
      [0, 1, 2].forEach((server) =>
        quarantine.recordCrash(
          createContent("popular"),
          SERVERS[server]!,
          2_000,
        )
      );
      assert.ok(!isQuarantined("popular"));
    });

    it("lets it run at an instance that never answered it", () => {
      const knowing = createQuarantine({}).quarantine;
      knowing.recordAnswer(createContent("popular"), 1_000);
      const { isQuarantined, quarantine } = createQuarantine({
        popular: [0, 1, 2],
      });
      knowing.mergeReports(quarantine.takeUnreported(), 3_000);
      quarantine.mergeReports(knowing.takeUnreported(), 3_100);
      assert.ok(!isQuarantined("popular"));
    });

    it("quarantines it when it was last answered long ago", () => {
      const { isQuarantined, quarantine } = createQuarantine({});
      quarantine.recordAnswer(createContent("bad"), 1_000);
      [0, 1, 2].forEach((server) =>
        quarantine.recordCrash(createContent("bad"), SERVERS[server]!, 70_000)
      );
      assert.ok(isQuarantined("bad", 71_000));
    });
  });

  describe("when calls share a prompt part", () => {
    const PARTS = { model: "m", parts: ["first", "second"] };
    const toCall = (nth: number, prompt: SharedPrompt = PARTS) =>
      createContent(`call ${nth}`, prompt);
    const crash = (quarantine: CallQuarantine, count: number) =>
      SERVERS.slice(0, count).forEach((server, nth) =>
        quarantine.recordCrash(toCall(nth), server, 1_000 + nth)
      );
    const isHeld = (quarantine: CallQuarantine, content = toCall(9)) =>
      quarantine.readRemainingQuarantineMs(content, 2_000) > 0;

    it("quarantines the part after three crashes of calls that differ", () => {
      const { quarantine } = createQuarantine({});
      crash(quarantine, 2);
      assert.ok(!isHeld(quarantine));
      crash(quarantine, 3);
      assert.ok(isHeld(quarantine));
    });

    it("quarantines another part after two crashes that the first one does not explain", () => {
      const { held, quarantine } = createQuarantine({});
      const other = (nth: number) =>
        toCall(nth, { model: "m", parts: ["first", "other"] });
      quarantine.recordAnswer(toCall(0, { model: "m", parts: ["first"] }), 500);
      const beside = toCall(50, { model: "m", parts: ["beside"] });
      [0, 1].forEach((server) =>
        quarantine.recordCrash(beside, SERVERS[server]!, 1_000)
      );
      [3, 4].forEach((server) =>
        quarantine.recordCrash(other(server), SERVERS[server]!, 1_000)
      );
      assert.ok(!isHeld(quarantine, other(9)));
      crash(quarantine, 3);
      assert.ok(isHeld(quarantine, other(9)));
      assert.ok(held.includes(other(9).partFingerprints[1]!));
      assert.ok(!isHeld(quarantine, beside));
    });

    it("quarantines no part that was answered, however often calls with it crash servers", () => {
      const { quarantine } = createQuarantine({});
      quarantine.recordAnswer(toCall(0), 500);
      crash(quarantine, 8);
      assert.ok(!isHeld(quarantine));
    });

    it("quarantines the call and not the part if all crashes are of the same call", () => {
      const { quarantine } = createQuarantine({});
      SERVERS.slice(0, 3).forEach((server) =>
        quarantine.recordCrash(toCall(0), server, 1_000)
      );
      assert.ok(isHeld(quarantine, toCall(0)));
      assert.ok(!isHeld(quarantine));
      quarantine.recordCrash(toCall(1), SERVERS[3]!, 1_500);
      assert.ok(isHeld(quarantine));
    });

    it("quarantines the part for one model only", () => {
      const { quarantine } = createQuarantine({});
      crash(quarantine, 3);
      assert.ok(!isHeld(quarantine, toCall(9, { ...PARTS, model: "other" })));
    });

    it("tries one call soon, and releases the part at its answer", () => {
      const { quarantine } = createQuarantine({});
      crash(quarantine, 3);
      const admit = (nowMs: number) => quarantine.admit(toCall(9), nowMs).kind;
      // Two parts are quarantined, so that the trial comes later.
      assert.equal(admit(5_000), "refused");
      assert.equal(admit(10_000), "trial");
      assert.equal(admit(10_100), "refused");
      quarantine.recordAnswer(toCall(9), 10_200);
      assert.equal(admit(10_300), "clear");
    });

    it("takes turns with other instances, and waits longer after each failed trial", () => {
      const first = new CallQuarantine();
      const second = new CallQuarantine({ rankSelf: () => 1 });
      [first, second].forEach((quarantine) => crash(quarantine, 3));
      const admit = (quarantine: CallQuarantine, nowMs: number) =>
        quarantine.admit(toCall(9), nowMs).kind;
      [first, second].forEach((quarantine) =>
        assert.equal(admit(quarantine, 3_000), "refused")
      );
      assert.equal(admit(first, 8_000), "trial");
      assert.equal(admit(second, 8_000), "refused");
      first.recordCrash(toCall(9), SERVERS[5]!, 8_100, { isTrial: true });
      second.mergeReports(first.takeUnreported(), 8_200);
      assert.equal(admit(second, 50_000), "refused");
      assert.equal(admit(first, 50_000), "refused");
      assert.equal(admit(first, 70_000), "refused");
      assert.equal(admit(first, 75_000), "trial");
    });

    it("delays later trials of a part by the failed trials of another one", () => {
      const { quarantine } = createQuarantine({});
      let callCount = 100;
      const toPart = (part: string) =>
        toCall(callCount++, { model: "m", parts: [part] });
      const admit = (part: string, nowMs: number) =>
        quarantine.admit(toPart(part), nowMs).kind;
      SERVERS.slice(0, 6).forEach((server, nth) => {
        const part = nth < 3 ? "bad" : "other";
        quarantine.recordCrash(toPart(part), server, 1_000);
      });
      ["bad", "other"].forEach((part, nth) => {
        assert.equal(admit(part, 3_000), "trial");
        quarantine.recordCrash(toPart(part), SERVERS[6 + nth]!, 3_100, {
          isTrial: true,
        });
      });
      assert.equal(admit("other", 100_000), "refused");
      assert.equal(admit("other", 310_000), "trial");
    });

    it("knows a call by all of 1,000 parts and by a bounded number of more, each by a short name", () => {
      const toParts = (count: number) =>
        Array.from({ length: count }, (_, nth) => `${nth}`);
      const list = (parts: readonly string[]) =>
        toCall(0, { model: "m", parts }).partFingerprints;
      const names = list(["a".repeat(5_000), "b@c", "d e"]);
      assert.equal(list(toParts(1_000)).length, 1_000);
      assert.equal(list(toParts(10_000)).length, 1_024);
      assert.equal(list(toParts(10_000)).at(-1), list(["9999"])[0]);
      assert.equal(new Set(names).size, 3);
      assert.ok(names.every((name) => /^part:[\w-]{16}$/.test(name)));
    });

    const toNewParts = (nth: number, count: number) =>
      Array.from({ length: count }, (_, part) => `new ${nth} ${part}`);

    it("quarantines the part behind hundreds of new ones, and reports it first", () => {
      const { held, quarantine } = createQuarantine({});
      const long = (nth: number) =>
        toCall(nth, { model: "m", parts: [...toNewParts(nth, 150), "bad"] });
      [0, 1, 2].forEach((nth) =>
        quarantine.recordCrash(long(nth), SERVERS[nth]!, 1_000 + nth)
      );
      const bad = toCall(9, { model: "m", parts: ["bad"] });
      assert.ok(isHeld(quarantine, bad));
      assert.deepEqual(held, [bad.partFingerprints[0]]);
    });

    it("makes a bounded number of parts suspect at one crash", () => {
      const { quarantine } = createQuarantine({});
      const parts = toNewParts(0, 1_000);
      quarantine.recordCrash(
        toCall(0, { model: "m", parts }),
        SERVERS[0]!,
        1_000,
      );
      assert.ok(quarantine.suspectCount <= 192);
    });

    it("remembers the answer of a part though others with 1,000 new parts follow", () => {
      const { quarantine } = createQuarantine({});
      quarantine.recordAnswer(toCall(0), 0);
      Array.from(
        { length: 120 },
        (_, nth) =>
          quarantine.recordAnswer(
            toCall(nth, { model: "m", parts: toNewParts(nth, 1_000) }),
            500,
          ),
      );
      crash(quarantine, 8);
      assert.ok(!isHeld(quarantine));
    });

    it("protects all parts of a long prompt once it was answered several times", () => {
      const { quarantine } = createQuarantine({});
      const long = (nth: number) =>
        toCall(nth, { model: "m", parts: toNewParts(0, 150) });
      [0, 1, 2].forEach((nth) => quarantine.recordAnswer(long(nth), 500));
      SERVERS.forEach((server, nth) =>
        quarantine.recordCrash(long(10 + nth), server, 1_000)
      );
      assert.ok(!isHeld(quarantine, long(99)));
    });
  });

  describe("when other instances report crashes", () => {
    it("adds their crashes to those it observed itself", () => {
      const { isQuarantined, quarantine } = createQuarantine({ bad: [0] });
      const other = createQuarantine({ bad: [1, 2] }).quarantine
        .takeUnreported();
      assert.equal(quarantine.mergeReports(other, 3_000).length, 2);
      assert.ok(isQuarantined("bad"));
    });

    it("returns no rows that it already knows", () => {
      const { quarantine } = createQuarantine({ bad: [0, 1, 2] });
      const known = quarantine.listQuarantinedInRotation(1, 3_000);
      assert.equal(known.length, 1);
      assert.deepEqual(quarantine.mergeReports(known, 3_000), []);
    });
  });

  describe("when thousands of calls lose their servers", () => {
    it("remembers a bounded number, and keeps the quarantined ones", () => {
      const { isQuarantined, quarantine } = createQuarantine({
        bad: [0, 1, 2],
      });
      Array.from(
        { length: 10_000 },
        (_, at) =>
          quarantine.recordCrash(
            createContent(`other ${at}`),
            SERVERS[3]!,
            4_000,
          ),
      );
      assert.ok(quarantine.suspectCount <= 4_096);
      assert.ok(isQuarantined("bad"));
    });

    it("quarantines a bounded number of calls, the newest ones", () => {
      const { isQuarantined, quarantine } = createQuarantine({});
      const bodies = Array.from({ length: 1_000 }, (_, at) => `bad ${at}`);
      bodies.forEach((body) =>
        [0, 1, 2].forEach((server) =>
          quarantine.recordCrash(createContent(body), SERVERS[server]!, 4_000)
        )
      );
      assert.ok(quarantine.quarantinedCount <= 256);
      assert.ok(isQuarantined(bodies.at(-1)!));
    });
  });
});
