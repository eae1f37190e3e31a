import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { LoadBoard } from "./load_board.ts";

const SERVER = toBackendId("s1");
const ONE = { calls: 1, pendingTokens: 100, memoryTokens: 400 };

describe("LoadBoard", () => {
  describe("when own calls and those of others are at a server", () => {
    it("sums them", () => {
      const board = new LoadBoard();
      board.addOwn(SERVER, ONE);
      board.replaceReport("a", {
        scope: "instance",
        loads: [{
          server: SERVER,
          calls: 2,
          pendingTokens: 10,
          memoryTokens: 20,
        }],
      });
      assert.deepEqual(board.readTotal(SERVER), {
        calls: 3,
        pendingTokens: 110,
        memoryTokens: 420,
      });
    });

    it("replaces what a reporter said before", () => {
      const board = new LoadBoard();
      const loads = [{ server: SERVER, ...ONE }];
      board.replaceReport("a", { scope: "instance", loads });
      board.replaceReport("a", { scope: "instance", loads });
      assert.equal(board.readTotal(SERVER).calls, 1);
      board.removeReport("a");
      assert.equal(board.readTotal(SERVER).calls, 0);
    });
  });

  describe("listNear()", () => {
    it("leaves out what other regions report, which would come back to them", () => {
      const board = new LoadBoard();
      board.addOwn(SERVER, ONE);
      board.replaceReport("region north", {
        scope: "region",
        loads: [{ server: toBackendId("far"), ...ONE }],
      });
      assert.deepEqual(board.listNear(), [{ server: SERVER, ...ONE }]);
    });
  });
});
