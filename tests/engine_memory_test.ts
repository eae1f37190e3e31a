import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { VirtualClock } from "../clock/mod.ts";
import type { StateSinks } from "../daemon/http_gateway.ts";
import type { FleetReport } from "../fleet/mod.ts";
import type { PromptPart } from "../forwarding/mod.ts";
import {
  type HttpService,
  INITIAL_LIMITS,
  RouteTable,
} from "../http_routes/mod.ts";
import { toBackendId, toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createReport } from "./report_fixture.ts";
import { createVirtualGateway, LOADED_STATE } from "./virtual_gateway.ts";

const PLAIN: HttpService = {
  name: "app",
  maxConnections: 10,
  warmUpMs: 0,
  warmUpCallsPerSecond: 0,
  engine: undefined,
};
const TABLE = new RouteTable({
  version: 1,
  routes: [],
  services: [PLAIN, {
    ...PLAIN,
    name: "lm",
    engine: { maxSequences: 8, cacheTokens: 100_000 },
  }],
  limits: INITIAL_LIMITS,
  teams: undefined,
});

function start(
  held: readonly PromptPart[] | undefined,
  saidStartMs?: number,
) {
  const clock = new VirtualClock();
  const asked: string[] = [];
  const reports: FleetReport[] = [];
  let sinks: StateSinks | undefined;
  const gateway = createVirtualGateway("north-0", {
    clock,
    createState: (given) => {
      sinks = given;
      return LOADED_STATE;
    },
    readHeldParts: (address) => {
      asked.push(address);
      return Promise.resolve(
        held === undefined
          ? err("busy")
          : ok({ parts: held, startedMs: saidStartMs }),
      );
    },
    sendReport: (report) => void reports.push(report),
  });
  gateway.start(new AbortController().signal);
  const register = (id: string, service: string, region: string) =>
    gateway.registry.put({
      id: toBackendId(id),
      name: id,
      startedMs: 1_000,
      service,
      address: id,
      failureDomain: toFailureDomainId(`${region}-a`),
      region: toRegionId(region),
      slots: 4,
      isDraining: false,
      coldForMs: 0,
      sequence: 0,
    }, clock.nowMs());
  register("lm-1", "lm", "north");
  register("lm-2", "lm", "south");
  register("app-1", "app", "north");
  sinks!.applyTable(TABLE);
  sinks!.onServers();
  return { asked, clock, gateway, register, reports, sinks: sinks! };
}

describe("the memory of engines after a start", () => {
  it("is asked of the engines of the own region, once", async () => {
    const { asked, register, sinks } = start([]);
    sinks.onServers();
    register("lm-3", "lm", "north");
    sinks.onServers();
    await Promise.resolve();
    // An engine that comes later is empty.
    assert.deepEqual(asked, ["lm-1"]);
  });

  it("is told to other regions, the newest sends first", async () => {
    const { clock, gateway, reports } = start([
      { id: "5c1e", tokens: 13_000 },
      { id: "tiny", tokens: 9 },
    ]);
    await clock.advance(10);
    const south = {
      ...gateway.fleet.self,
      id: createVirtualGateway("south-0").fleet.self.id,
      region: toRegionId("south"),
    };
    gateway.receiveReport(
      createReport(south, 1, { scope: "region" }),
      "south-0",
    );
    await clock.advance(600);
    const told = reports.filter(({ scope }) => scope === "region")
      .flatMap(({ prefixes }) => prefixes);
    assert.deepEqual(told, [
      { server: toBackendId("lm-1"), part: "5c1e", tokens: 13_000 },
    ]);
  });

  it("is not taken from an engine that has started again meanwhile", async () => {
    const { clock, reports } = start([{ id: "5c1e", tokens: 13_000 }], 2_000);
    await clock.advance(600);
    assert.ok(reports.every(({ prefixes }) => prefixes.length === 0));
  });

  it("is learned from what is sent where an engine does not tell it", async () => {
    const { asked, clock, reports } = start(undefined);
    await clock.advance(600);
    assert.deepEqual(asked, ["lm-1"]);
    assert.ok(reports.every(({ prefixes }) => prefixes.length === 0));
  });
});
