import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ok } from "neverthrow";
import type { EngineOrder, EngineState } from "../engine/mod.ts";
import { FakeFleet, NEW_ENGINE } from "../standin/mod.ts";

describe("createPlaceVersions()", () => {
  describe("with engines that serve the declared version", () => {
    it("polls them rarely and loads the version again when one loses it", async () => {
      const fleet = new FakeFleet({
        regions: ["r1"],
        weightLoadsPerMinute: 20,
      });
      const states = new Map<string, EngineState>();
      const orders: EngineOrder[] = [];
      let polls = 0;
      fleet.daemons.forEach(({ gateway }) => {
        const { backend } = gateway.parts;
        backend.readState = (server) => {
          polls++;
          const known = states.get(server.id);
          const emptyState = {
            version: undefined,
            loading: undefined,
            failure: undefined,
          };
          return Promise.resolve(
            ok(known ?? { ...emptyState, orderId: undefined }),
          );
        };
        backend.order = (server, order) => {
          orders.push(order);
          const { orderId, version } = order;
          states.set(server.id, {
            version,
            loading: undefined,
            failure: undefined,
            orderId,
          });
          return Promise.resolve(ok(undefined));
        };
      });
      await fleet.clock.advance(3_000);
      const engines = Array.from({ length: 6 }, (_, index) => {
        const url = `http://127.0.0.1:${10_000 + index}`;
        fleet.backend.addEngine(url, "r1", NEW_ENGINE);
        const spec = {
          service: "chat",
          region: "r1",
          failureDomain: "fd",
          url,
        };
        return { kind: "engine", name: `e${index}`, spec };
      });
      await fleet.apply([
        { kind: "model", name: "m", spec: {} },
        { kind: "version", name: "v1", spec: { model: "m", weights: "m/v1" } },
        { kind: "service", name: "chat", spec: { model: "m" } },
        ...engines,
        {
          kind: "placement",
          name: "p",
          spec: { service: "chat", region: "r1", version: "v1", replicas: 6 },
        },
      ]);
      // The weight store's rate allows two loads at once, then one every 3 s.
      assert.ok(orders.length <= 3, `${orders.length} loads in the first 3 s`);
      await fleet.clock.advance(7_000);
      assert.ok(orders.length <= 5, `${orders.length} loads in the first 10 s`);
      await fleet.clock.advance(15_000);
      assert.equal(orders.length, 6);
      assert.equal(
        new Set(orders.map(({ fencingToken }) => fencingToken)).size,
        1,
      );
      polls = 0;
      await fleet.clock.advance(60_000);
      assert.ok(polls <= 6 * 4, `asked ${polls} times in a minute`);
      assert.equal(orders.length, 6, "it orders nothing where nothing differs");
      states.delete("e3");
      await fleet.clock.advance(60_000);
      assert.equal(orders.length, 7);
      fleet.stop();
    });
  });
});
