import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toRegionId } from "../ids/mod.ts";
import { createServerEntry } from "../tests/member_fixture.ts";
import { ServerRegistry } from "./server_registry.ts";

const ENTRY = createServerEntry("s1");

function createRegistry() {
  const registry = new ServerRegistry();
  registry.put(ENTRY, 0);
  return registry;
}

describe("ServerRegistry", () => {
  describe("when a server announces in an answer that it is shutting down", () => {
    it("lists it no more, and returns true only the first time", () => {
      const registry = createRegistry();
      assert.ok(registry.markLeaving(ENTRY.id));
      assert.ok(!registry.markLeaving(ENTRY.id));
      assert.ok(!registry.isUsable(ENTRY.id));
      assert.deepEqual(registry.listUsable("app", toRegionId("north")), []);
    });

    it("keeps it out of use when its entry changes otherwise", () => {
      const registry = createRegistry();
      registry.markLeaving(ENTRY.id);
      registry.put({ ...ENTRY, coldForMs: 500 }, 10);
      registry.markCold(ENTRY.id, 5_000);
      registry.replaceAll([{ ...ENTRY }], 20, 0);
      assert.ok(!registry.isUsable(ENTRY.id));
    });

    it("lists it again once its entry was draining and no longer is", () => {
      const registry = createRegistry();
      registry.markLeaving(ENTRY.id);
      registry.put({ ...ENTRY, isDraining: true }, 10);
      assert.ok(!registry.isUsable(ENTRY.id));
      registry.put({ ...ENTRY }, 20);
      assert.ok(registry.isUsable(ENTRY.id));
    });

    it("lists the next start of the server", () => {
      const registry = createRegistry();
      registry.markLeaving(ENTRY.id);
      registry.remove(ENTRY.id);
      registry.put({ ...ENTRY }, 10);
      assert.ok(registry.isUsable(ENTRY.id));
    });
  });

  it("ignores the announcement of a server that is not registered", () => {
    assert.ok(!new ServerRegistry().markLeaving(ENTRY.id));
  });
});
