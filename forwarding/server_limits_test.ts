import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { ServerLimits } from "./server_limits.ts";

const SERVER = toBackendId("s1");

describe("ServerLimits", () => {
  describe("hear()", () => {
    it("returns whether the limit has changed", () => {
      const limits = new ServerLimits();
      const hear = (perSecond: number | undefined, atMs: number) =>
        limits.recordAdvertised(SERVER, { perSecond, sentMs: atMs }, atMs);
      assert.equal(hear(undefined, 1), false);
      assert.equal(hear(2, 2), true);
      assert.equal(hear(2, 3), false);
      assert.equal(hear(1, 4), true);
      assert.equal(hear(undefined, 5), true);
      assert.equal(hear(undefined, 6), false);
    });

    it("does not end a limit by an answer to a call that was sent before the limit was advertised", () => {
      const limits = new ServerLimits();
      limits.recordAdvertised(SERVER, { perSecond: 2, sentMs: 10 }, 20);
      limits.recordAdvertised(SERVER, { perSecond: undefined, sentMs: 15 }, 25);
      assert.equal(limits.read(SERVER), 2);
      limits.recordAdvertised(SERVER, { perSecond: undefined, sentMs: 21 }, 30);
      assert.equal(limits.read(SERVER), undefined);
    });
  });

  describe("learn()", () => {
    const toRow = (perSecond: number | undefined, ageMs: number) => ({
      server: SERVER,
      perSecond,
      ageMs,
    });

    it("keeps the latest limit of the server, whichever instance received it", () => {
      const limits = new ServerLimits();
      limits.recordAdvertised(SERVER, { perSecond: 2, sentMs: 100 }, 100);
      assert.deepEqual(
        limits.recordReported([toRow(9, 50)], "member", 140),
        [],
      );
      assert.equal(limits.read(SERVER), 2);
      const end = toRow(undefined, 50);
      assert.deepEqual(limits.recordReported([end], "member", 200), [end]);
      assert.equal(limits.read(SERVER), undefined);
      assert.deepEqual(
        limits.recordReported([toRow(2, 210)], "member", 300),
        [],
      );
      assert.equal(limits.read(SERVER), undefined);
    });
  });

  describe("listReported()", () => {
    it("lists what this instance received for its region, and what the region received for others", () => {
      const limits = new ServerLimits();
      limits.recordAdvertised(SERVER, { perSecond: 2, sentMs: 100 }, 100);
      const row = { perSecond: 3, ageMs: 0 };
      const [local, remote] = [toBackendId("s2"), toBackendId("s3")];
      limits.recordReported([{ server: local, ...row }], "member", 100);
      limits.recordReported([{ server: remote, ...row }], "summary", 100);
      const list = (scope: "instance" | "region") =>
        limits.listReported(scope, 150).map(({ server }) => server);
      assert.deepEqual(list("instance"), [SERVER]);
      assert.deepEqual(list("region"), [SERVER, local]);
    });

    it("lists all limits in rotation when there are many", () => {
      const limits = new ServerLimits();
      const all = Array.from({ length: 40 }, (_, at) => toBackendId(`s${at}`));
      all.forEach((server) =>
        limits.recordAdvertised(server, { perSecond: 2, sentMs: 1 }, 1)
      );
      const listed = Array.from(
        { length: 3 },
        () => limits.listReported("instance", 2),
      ).flat().map(({ server }) => server);
      assert.equal(new Set(listed).size, 40);
    });
  });
});
