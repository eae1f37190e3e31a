// Guards against a call that two engines work on together, as an instance that is behind ends one of both sends too late.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { blockEventLoop } from "./block_event_loop.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import { createRequest, startGateway } from "./http_gateway_fixture.ts";
import { openRawCaller, startRawServer } from "./raw_http.ts";
import {
  createEvent,
  type RequestHandler,
  STREAM_END,
  STREAM_HEAD,
  toChunk,
} from "./stream_fixture.ts";

/** Time for which an instance does not run, in milliseconds. */
const BEHIND_MS = 300;
/** Time after which the first engine answers, beyond that of a handover, in milliseconds. */
const SILENCE_MS = 900;

afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

const answer = STREAM_HEAD + toChunk(createEvent(1)) + STREAM_END;
const answerLate: RequestHandler = (_, socket) =>
  void setTimeout(() => socket.write(answer), SILENCE_MS);

async function startEngines() {
  const servers = await Promise.all(
    [answerLate, answerLate].map(startRawServer),
  );
  const gateway = await startGateway({
    routes: [{
      prefix: "/a/",
      kind: "streaming",
      resumable: true,
      maxAttempts: 2,
      targetMs: 800,
    }],
    servers: { s0: servers[0]!.address, s1: servers[1]!.address },
    engine: { slots: 8, kvCacheTokens: 100_000 },
  });
  CLEAN_UPS.push(
    () => gateway.close(),
    ...servers.map((server) => () => server.close()),
  );
  const countSends = () =>
    servers.reduce((sum, { requests }) => sum + requests.length, 0);
  return { gateway, countSends };
}

async function request(
  { host, port }: { readonly host: string; readonly port: number },
  headers: readonly string[] = [],
): Promise<string> {
  const caller = await openRawCaller(port, host);
  CLEAN_UPS.push(() => caller.socket.destroy());
  caller.socket.write(
    createRequest("/a/x", { headers: [...headers, "Connection: close"] }),
  );
  return await caller.awaitEnd();
}

describe("an instance that is behind", () => {
  it("hands no call of a silent engine over to another one", async () => {
    const { countSends, gateway } = await startEngines();
    await sleep(100);
    blockEventLoop(BEHIND_MS);
    assert.match(await request(gateway), /token 1/);
    assert.equal(countSends(), 1);
  });

  it("takes over no call of an engine from another instance", async () => {
    const { countSends, gateway } = await startEngines();
    await sleep(100);
    blockEventLoop(BEHIND_MS);
    const hop = "from=instance-x&service=app&remainingMs=3000&handover=1";
    const peer = { host: gateway.host, port: gateway.peerPort };
    const refused = await request(peer, [`havenspur-hop: ${hop}`]);
    assert.match(refused, /havenspur-hop-answer: kind=not-run&.*reason=behind/);
    assert.equal(countSends(), 0);
  });
});

describe("an instance that keeps up", () => {
  it("hands the call of a silent engine over to another one", async () => {
    const { countSends, gateway } = await startEngines();
    assert.match(await request(gateway), /token 1/);
    assert.equal(countSends(), 2);
  });
});
