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

const PLAIN_SERVICE: HttpService = {
  name: "app",
  maxConnections: 10,
  warmUpMs: 0,
  warmUpCallsPerSecond: 0,
  engine: undefined,
};
const TABLE = new RouteTable({
  version: 1,
  routes: [],
  services: [PLAIN_SERVICE, {
    ...PLAIN_SERVICE,
    name: "lm",
    engine: { maxSequences: 8, cacheTokens: 100_000 },
  }],
  limits: INITIAL_LIMITS,
  teams: undefined,
});

function startGateway(
  cachedParts: readonly PromptPart[] | undefined,
  reportedStartMs?: number,
) {
  const clock = new VirtualClock();
  const requestedAddresses: string[] = [];
  const reports: FleetReport[] = [];
  let sinks: StateSinks | undefined;
  const gateway = createVirtualGateway("north-0", {
    clock,
    createState: (gatewaySinks) => {
      sinks = gatewaySinks;
      return LOADED_STATE;
    },
    readCachedParts: (address) => {
      requestedAddresses.push(address);
      return Promise.resolve(
        cachedParts === undefined
          ? err("busy")
          : ok({ parts: cachedParts, startedMs: reportedStartMs }),
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
  return {
    requestedAddresses,
    clock,
    gateway,
    register,
    reports,
    sinks: sinks!,
  };
}

describe("the prefix caches of engines after an instance starts", () => {
  it("are read from the engines of the own region, once", async () => {
    const { requestedAddresses, register, sinks } = startGateway([]);
    sinks.onServers();
    register("lm-3", "lm", "north");
    sinks.onServers();
    await Promise.resolve();
    // An engine that is registered later has an empty cache.
    assert.deepEqual(requestedAddresses, ["lm-1"]);
  });

  it("are reported to other regions, without parts that are too short", async () => {
    const { clock, gateway, reports } = startGateway([
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
    const reported = reports.filter(({ scope }) => scope === "region")
      .flatMap(({ prefixes }) => prefixes);
    assert.deepEqual(reported, [
      { server: toBackendId("lm-1"), part: "5c1e", tokens: 13_000 },
    ]);
  });

  it("are ignored if the engine has restarted in the meantime", async () => {
    const { clock, reports } = startGateway(
      [{ id: "5c1e", tokens: 13_000 }],
      2_000,
    );
    await clock.advance(600);
    assert.ok(reports.every(({ prefixes }) => prefixes.length === 0));
  });

  it("are not reported if the engine cannot be read", async () => {
    const { requestedAddresses, clock, reports } = startGateway(undefined);
    await clock.advance(600);
    assert.deepEqual(requestedAddresses, ["lm-1"]);
    assert.ok(reports.every(({ prefixes }) => prefixes.length === 0));
  });
});
