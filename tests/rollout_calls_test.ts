// Guards against calls at versions that a rollout does not allow them: by a first choice, a retry, a handover, another region, or a resumed stream.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HttpRoute } from "../http_routes/mod.ts";
import { toBackendId, toRegionId, toServerVersion } from "../ids/mod.ts";
import type { SendOutcome, VersionedCall } from "../rollouts/mod.ts";
import {
  ServerVersions,
  toKeyedParts,
  type VersionRules,
} from "../forwarding/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import type {
  Arrival,
  CallOutcome,
  ServerAction,
  VirtualCall,
  VirtualFleet,
} from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

const OLD = toServerVersion("v1");
const NEW = toServerVersion("v2");

/** Rules of a canary that a test switches on and off. */
class FixedRules implements VersionRules {
  /** Whether each first send is a call of the canary. */
  isCanary = true;
  /** Whether version `v2` may get any call. */
  isOrdered = true;
  readonly assigned: VersionedCall[] = [];
  readonly outcomes: (SendOutcome & { readonly server: string })[] = [];
  canary: readonly string[] = [];

  assign(call: VersionedCall): ReturnType<VersionRules["assign"]> {
    this.assigned.push(call);
    const { isFirstSend, mustUse } = call;
    if (mustUse === NEW) {
      return this.isOrdered
        ? { kind: "destination", destination: NEW }
        : { kind: "none" };
    }
    if (isFirstSend && this.isCanary && this.isOrdered) {
      const servers = new Set(this.canary.map(toBackendId));
      return { kind: "trial", destination: NEW, servers };
    }
    return { kind: "in-force", versions: [OLD] };
  }

  isAllowed(
    ...[assignment, { id, version }]: Parameters<VersionRules["isAllowed"]>
  ): boolean {
    switch (assignment.kind) {
      case "any":
        return true;
      case "none":
        return false;
      case "in-force":
        return assignment.versions.includes(version);
      case "trial":
        return assignment.servers.has(id);
      case "destination":
        return assignment.destination === version;
    }
  }

  beginSend(
    { server }: Parameters<VersionRules["beginSend"]>[0],
  ): ReturnType<VersionRules["beginSend"]> {
    return { end: (outcome) => this.outcomes.push({ ...outcome, server }) };
  }
}

interface Setup {
  readonly decide: (arrival: Arrival) => ServerAction;
  /** Servers of both versions by region. Default: two of each in `north`. */
  readonly servers?: Readonly<Record<string, readonly [number, number]>>;
  readonly route?: Partial<HttpRoute>;
  readonly slots?: number;
}

async function start(
  { decide, route, servers = { north: [2, 2] }, slots = 64 }: Setup,
) {
  const rules = new FixedRules();
  const fleet = await startVirtualFleet({
    regions: Object.fromEntries(
      Object.entries(servers).map(([region, [old]]) => [
        region,
        { instances: 1, servers: old },
      ]),
    ),
    table: createRouteTable([createRoute("/a/", undefined, route)]),
    createRollouts: () => rules,
    decide,
    slots,
  });
  rules.canary = Object.entries(servers).flatMap(([region, [, count]]) =>
    fleet.startServers(region, count, NEW)
  );
  return { fleet, rules };
}

/** Sends a call and returns its outcome together with the versions that it reached. */
async function callOnce(
  fleet: VirtualFleet,
  call: Partial<VirtualCall> = {},
): Promise<{ readonly outcome: CallOutcome; readonly versions: string[] }> {
  const before = fleet.arrivals.length;
  const pending = fleet.send({ body: "x", address: "north-0", ...call });
  await fleet.clock.advance(2_500);
  const versions = fleet.arrivals.slice(before).map(({ version }) => version);
  return { outcome: await pending, versions };
}

const answerOld = (action: ServerAction) => ({ version }: Arrival) =>
  version === OLD ? { kind: "answer", afterMs: 20 } as const : action;
const OK: ServerAction = { kind: "answer", afterMs: 20 };
const STREAM = { routeClass: "stream", isResumable: true } as const;

describe("servers of a version that is not ordered", () => {
  it("get no calls, also when every other server refuses, at home or elsewhere", async () => {
    const { fleet, rules } = await start({
      servers: { north: [1, 2], south: [1, 2] },
      decide: () => ({ kind: "reject", headers: ["Retry-After", "1"] }),
    });
    rules.isOrdered = false;
    for (let count = 0; count < 10; count++) await callOnce(fleet);
    assert.deepEqual([...new Set(fleet.arrivals.map((each) => each.version))], [
      OLD,
    ]);
  });

  it("are told from servers without any version, which always get calls", async () => {
    const { fleet, rules } = await start({
      servers: { north: [1, 1] },
      decide: () => OK,
      slots: 1,
    });
    rules.isOrdered = false;
    const { registry } = fleet.gateways.get("north-0")!;
    registry.servers.forEach(({ entry }) =>
      registry.put({ ...entry, version: undefined }, fleet.clock.nowMs())
    );
    Array.from({ length: 4 }, () => void fleet.call("x", "north-0"));
    await callOnce(fleet);
    assert.equal(new Set(fleet.arrivals.map(({ server }) => server)).size, 2);
  });

  it("do not shorten the time after which a refused caller may return", async () => {
    const { fleet, rules } = await start({
      servers: { north: [1, 1] },
      decide: () => ({ kind: "reject", headers: ["Retry-After", "9"] }),
    });
    rules.isOrdered = false;
    await callOnce(fleet);
    const { outcome: { headers, status } } = await callOnce(fleet);
    assert.equal(status, 503);
    const retryAfter = headers[headers.indexOf("Retry-After") + 1];
    assert.ok(Number(retryAfter) >= 3, `told to return after ${retryAfter} s`);
  });

  it("do not count as a reachable service: the call goes to the region that has the other version", async () => {
    const { fleet, rules } = await start({
      servers: { north: [0, 2], south: [1, 0] },
      decide: () => OK,
    });
    rules.isOrdered = false;
    const { outcome, versions } = await callOnce(fleet);
    assert.deepEqual([outcome.status, versions], [200, [OLD]]);
  });
});

describe("a call of the canary", () => {
  it("is retried at the version in force if it is idempotent", async () => {
    for (
      const action of [
        { kind: "answer", afterMs: 20, status: 500 },
        { kind: "lose", afterMs: 20 },
        { kind: "reject", headers: [] },
        { kind: "answer", afterMs: 60_000 },
      ] as const
    ) {
      const { fleet } = await start({ decide: answerOld(action) });
      const { outcome, versions } = await callOnce(fleet);
      assert.deepEqual([outcome.status, versions], [200, [NEW, OLD]]);
    }
  });

  it("is not quarantined for crashes of the new version, as its retries are answered", async () => {
    const { fleet } = await start({
      servers: { north: [3, 6] },
      decide: answerOld({ kind: "end", afterMs: 20 }),
    });
    for (let count = 0; count < 6; count++) {
      const { outcome } = await callOnce(fleet);
      assert.equal(outcome.status, 200);
    }
    const crashes = fleet.arrivals.filter(({ version }) => version === NEW);
    assert.ok(crashes.length >= 4, `${crashes.length} servers crashed`);
  });

  it("runs once if it is not idempotent", async () => {
    const { fleet } = await start({
      decide: answerOld({ kind: "lose", afterMs: 20 }),
      route: { routeClass: "non-idempotent" },
    });
    const { outcome, versions } = await callOnce(fleet);
    assert.deepEqual([outcome.status, versions], [502, [NEW]]);
  });

  it("goes to the version in force where no canary server has capacity", async () => {
    const { fleet } = await start({
      servers: { north: [4, 1] },
      decide: () => ({ kind: "answer", afterMs: 300 }),
      slots: 1,
    });
    const calls = Array.from({ length: 5 }, () => fleet.call("x", "north-0"));
    await fleet.clock.advance(2_000);
    const versions = fleet.arrivals.map(({ version }) => version);
    assert.deepEqual(versions, [NEW, NEW, OLD, OLD, OLD]);
    assert.ok((await Promise.all(calls)).every(({ status }) => status === 200));
  });

  it("is drawn once, however often it is woken while it waits for capacity", async () => {
    const { fleet, rules } = await start({
      servers: { north: [1, 0] },
      decide: () => ({ kind: "answer", afterMs: 200 }),
      slots: 1,
    });
    rules.isCanary = false;
    Array.from({ length: 4 }, () => void fleet.call("x", "north-0"));
    await fleet.clock.advance(1_500);
    const draws = rules.assigned.filter(({ isFirstSend }) => isFirstSend);
    assert.equal(draws.length, 4);
  });

  it("is drawn by the region that it is forwarded to", async () => {
    const { fleet } = await start({
      servers: { north: [0, 0], south: [1, 1] },
      decide: () => OK,
    });
    const { versions } = await callOnce(fleet);
    assert.deepEqual(versions, [NEW]);
  });

  it("is drawn by the last shared part of its prompt, so that one version reads that part", () => {
    const rules = new FixedRules();
    const versions = new ServerVersions({
      ownRegion: toRegionId("north"),
      registry: new ServerRegistry(),
      rollouts: rules,
    });
    versions.drawFirst({
      service: { name: "app" },
      route: { name: "/a/" },
      promptParts: toKeyedParts(
        ["a", "b", "own"].map((id) => ({ id, tokens: 1_000 })),
      ),
      isFirstSend: true,
      isTrial: false,
      hasDrawnVersion: false,
      progress: {},
    });
    assert.equal(rules.assigned[0]?.affinityKey, "a.b");
  });

  it("is not drawn again where it is forwarded as a retry", async () => {
    const { fleet } = await start({
      servers: { north: [0, 1], south: [1, 1] },
      decide: answerOld({ kind: "lose", afterMs: 20 }),
    });
    const { outcome, versions } = await callOnce(fleet);
    assert.deepEqual([outcome.status, versions], [200, [NEW, OLD]]);
  });
});

describe("a stream that breaks", () => {
  const decideStream = ({ lastEventId }: Arrival): ServerAction => ({
    kind: "stream",
    afterMs: 20,
    gapMs: 20,
    events: 6,
    ...(lastEventId === undefined ? { cutAfter: 3 } : {}),
  });
  const places: readonly Required<Pick<Setup, "servers">>["servers"][] = [
    { north: [2, 2] },
    { north: [0, 0], south: [2, 2] },
  ];
  places.forEach((servers) => {
    const name = "south" in servers ? "in another region" : "at home";
    it(`is resumed at the version that began it, ${name}`, async () => {
      const { fleet } = await start({
        servers,
        decide: decideStream,
        route: STREAM,
      });
      if (name !== "at home") fleet.start("south-1");
      await fleet.clock.advance(1_000);
      const { outcome, versions } = await callOnce(fleet, { awaitsEnd: true });
      assert.deepEqual(versions, [NEW, NEW]);
      assert.equal(outcome.body?.match(/data: v2/g)?.length, 6);
    });
  });

  it("ends if its version may get no more calls", async () => {
    const { fleet, rules } = await start({
      decide: (arrival) => {
        rules.isOrdered = false;
        return decideStream(arrival);
      },
      route: STREAM,
    });
    const { outcome, versions } = await callOnce(fleet, { awaitsEnd: true });
    assert.deepEqual([outcome.status, versions], [0, [NEW]]);
    assert.equal(outcome.body?.match(/data: v2/g)?.length, 3);
  });
});

describe("the evidence of a version", () => {
  it("is the outcome of first sends, with their first byte and longest gap", async () => {
    const { fleet, rules } = await start({
      decide: ({ lastEventId, version }) =>
        version === NEW && lastEventId === undefined
          ? { kind: "stream", afterMs: 30, gapMs: 70, events: 3 }
          : { kind: "answer", afterMs: 20, status: 500 },
      route: STREAM,
    });
    await callOnce(fleet, { awaitsEnd: true });
    const [{ server: _, ...outcome }] = rules.outcomes as [
      typeof rules.outcomes[number],
    ];
    assert.deepEqual(outcome, {
      kind: "answered",
      firstByteMs: 30,
      longestGapMs: 70,
    });
  });

  it("leaves out repeated sends, rejections and calls whose callers left", async () => {
    const { fleet, rules } = await start({
      decide: answerOld({ kind: "answer", afterMs: 20, status: 500 }),
    });
    await callOnce(fleet);
    assert.deepEqual(rules.outcomes.map(({ kind }) => kind), [
      "failed",
      "ignored",
    ]);
  });

  // Guards against an exposure share that grows by sends which reach no server.
  it("is told of first and repeated sends whose connection did not open", async () => {
    const { fleet, rules } = await start({ decide: () => OK });
    const { registry } = fleet.gateways.get("north-0")!;
    registry.servers.slice(1).forEach(({ entry }) =>
      registry.put({ ...entry, address: "closed" }, fleet.clock.nowMs())
    );
    await callOnce(fleet);
    const kinds = rules.outcomes.map(({ kind }) => kind);
    assert.ok(kinds.length >= 2, `${kinds.length} sends`);
    assert.ok(kinds.slice(0, -1).every((kind) => kind === "not-sent"));
  });

  it("counts a call that is not answered until its deadline as a failure", async () => {
    const { fleet, rules } = await start({
      decide: () => ({ kind: "answer", afterMs: 60_000 }),
      route: { routeClass: "non-idempotent" },
    });
    await callOnce(fleet);
    assert.deepEqual(rules.outcomes.map(({ kind }) => kind), ["failed"]);
  });
});
