// Guards against an answer whose server did not tell its end, and that daemons keep or pass on as a whole one.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Reply } from "../filters/mod.ts";
import {
  type FakeDaemon,
  FakeFleet,
  hashToken,
  NEW_ENGINE,
} from "../standin/mod.ts";

const TOKEN = "token";
const NOT_KEPT_CODE = 1304;
const FAILED_CODE = 1401;

/** Starts a fleet of two regions; the only engine, in the first, does not tell the ends of its answers. */
async function createFleet(): Promise<FakeFleet> {
  const fleet = new FakeFleet({
    regions: ["r1", "r2"],
    storeCallsPerSecond: 600,
  });
  await fleet.clock.advance(3_000);
  const url = "http://127.0.0.1:10001";
  fleet.backend.addEngine(url, "r1", NEW_ENGINE).tellsEnds = false;
  await fleet.apply([
    { kind: "model", name: "m", spec: {} },
    { kind: "service", name: "chat", spec: { model: "m" } },
    {
      kind: "engine",
      name: "e1",
      spec: {
        service: "chat",
        region: "r1",
        failureDomain: "fd",
        url,
        slots: 16,
      },
    },
    { kind: "team", name: "t", spec: { tokenHashes: [hashToken(TOKEN)] } },
  ]);
  await fleet.clock.advance(3_000);
  return fleet;
}

async function send(
  fleet: FakeFleet,
  daemon: FakeDaemon,
  request: Omit<Parameters<FakeFleet["call"]>[1], "token">,
): Promise<Extract<Reply, { kind: "whole" }>> {
  const sent = fleet.call(daemon, { token: TOKEN, ...request });
  await fleet.clock.advance(9_000);
  const reply = await sent;
  assert.ok(reply.kind === "whole");
  return reply;
}

const COMPLETION = {
  path: "/v1/completions",
  body: { model: "m", prompt: "q", max_tokens: 2 },
};

describe("an answer whose server did not tell its end", () => {
  ["r1", "r2"].forEach((region) => {
    it(`is passed on as one that may be cut, at a daemon of ${region}`, async () => {
      const fleet = await createFleet();
      const daemon = fleet.daemons.find(({ record }) =>
        record.region === region
      )!;
      const reply = await send(fleet, daemon, COMPLETION);
      fleet.stop();
      assert.equal(reply.status, 200);
      assert.equal(reply.mayBeCut, true);
    });
  });

  it("is not kept for the next call under its key", async () => {
    const fleet = await createFleet();
    const headers = { "x-non-idempotent": "true", "idempotency-key": "k" };
    const [daemon] = fleet.daemons;
    await send(fleet, daemon!, { ...COMPLETION, headers });
    const again = await send(fleet, daemon!, { ...COMPLETION, headers });
    fleet.stop();
    assert.equal(Number(again.headers["x-result-code"]), NOT_KEPT_CODE);
  });

  it("is no answer of a batch's item", async () => {
    const fleet = await createFleet();
    const [daemon] = fleet.daemons;
    const items = [{
      custom_id: "i1",
      url: COMPLETION.path,
      body: COMPLETION.body,
    }];
    const accepted = await send(fleet, daemon!, {
      path: "/v1/batches",
      headers: { "idempotency-key": "b" },
      body: { items },
    });
    const { id } = JSON.parse(String(accepted.body)) as { id: string };
    await fleet.clock.advance(30_000);
    const results = await send(fleet, daemon!, {
      path: `/v1/batches/${id}/results`,
      method: "GET",
    });
    fleet.stop();
    assert.match(String(results.body), /"custom_id":"i1"/);
    assert.match(String(results.body), new RegExp(`"code":${FAILED_CODE}`));
    assert.doesNotMatch(String(results.body), /choices/);
  });
});
