import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { resetConnection } from "./reset_connection.ts";

/** Returns both ends of a new connection. */
async function openConnection(): Promise<readonly [Socket, Socket]> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const [accepted] = await once(server, "connection") as [Socket];
  server.close();
  accepted.resume();
  return [caller, accepted];
}

describe("resetConnection()", () => {
  it("resets a connection", async () => {
    const [caller, accepted] = await openConnection();
    const failed = once(accepted, "error");
    resetConnection(caller);
    const [error] = await failed;
    assert.equal(error.code, "ECONNRESET");
  });

  // A handle that Node has lost keeps the process from ever ending.
  describe("when the end of the connection is being sent", () => {
    for (const ticks of [0, 1, 2, 3]) {
      it(`closes it without an error, ${ticks} ticks later`, async () => {
        const [caller, accepted] = await openConnection();
        const errors: unknown[] = [];
        caller.on("error", (error) => errors.push(error));
        caller.end();
        for (let tick = 0; tick < ticks; tick++) {
          await new Promise((resolve) => process.nextTick(resolve));
        }
        resetConnection(caller);
        await once(accepted, "close");
        assert.deepEqual(errors, []);
      });
    }
  });
});
