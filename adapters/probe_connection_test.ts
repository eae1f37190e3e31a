import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { probeConnection } from "./probe_connection.ts";

const CLEAN_UPS: (() => void)[] = [];
afterEach(() => CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp()));

async function listen(accept: (socket: Socket) => void): Promise<string> {
  const server = createServer(accept).listen(0, "127.0.0.1");
  CLEAN_UPS.push(() => server.close());
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe("probeConnection()", () => {
  it("succeeds if the connection stays open, and sends no byte", async () => {
    let bytes = 0;
    const address = await listen((socket) => {
      socket.on("data", (chunk) => bytes += chunk.length);
    });
    assert.equal(await probeConnection(address), true);
    assert.equal(bytes, 0);
  });

  it("fails if the port refuses connections", async () => {
    const address = await listen(() => {});
    CLEAN_UPS.splice(0).forEach((cleanUp) => cleanUp());
    assert.equal(await probeConnection(address), false);
  });

  it("fails if the connection is reset as soon as it is open", async () => {
    const address = await listen((socket) => socket.resetAndDestroy());
    assert.equal(await probeConnection(address), false);
  });
});
