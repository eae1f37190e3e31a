import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toRegionId } from "../ids/mod.ts";
import { createServerEntry } from "../tests/member_fixture.ts";
import { ServerRegistry } from "./server_registry.ts";

const ENTRY = createServerEntry("s1");

function start() {
  const registry = new ServerRegistry();
  registry.put(ENTRY, 0);
  return registry;
}

describe("ServerRegistry", () => {
  describe("when a server says in an answer that it leaves", () => {
    it("offers it no more, and says once that this is news", () => {
      const registry = start();
      assert.ok(registry.markLeaving(ENTRY.id));
      assert.ok(!registry.markLeaving(ENTRY.id));
      assert.ok(!registry.isUsable(ENTRY.id));
      assert.deepEqual(registry.listUsable("app", toRegionId("north")), []);
    });

    it("keeps to that where its entry says something else of it", () => {
      const registry = start();
      registry.markLeaving(ENTRY.id);
      registry.put({ ...ENTRY, coldForMs: 500 }, 10);
      registry.markCold(ENTRY.id, 5_000);
      registry.replaceAll([{ ...ENTRY }], 20, 0);
      assert.ok(!registry.isUsable(ENTRY.id));
    });

    it("offers it again once its entry says that it left and came back", () => {
      const registry = start();
      registry.markLeaving(ENTRY.id);
      registry.put({ ...ENTRY, isDraining: true }, 10);
      assert.ok(!registry.isUsable(ENTRY.id));
      registry.put({ ...ENTRY }, 20);
      assert.ok(registry.isUsable(ENTRY.id));
    });

    it("offers the next start of it", () => {
      const registry = start();
      registry.markLeaving(ENTRY.id);
      registry.remove(ENTRY.id);
      registry.put({ ...ENTRY }, 10);
      assert.ok(registry.isUsable(ENTRY.id));
    });
  });

  it("knows nothing of a server that is not registered", () => {
    assert.ok(!new ServerRegistry().markLeaving(ENTRY.id));
  });
});
